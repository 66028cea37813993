// Package crashguard finds the requests and the parts of prompts that crash servers, and says
// which requests must not be sent because of them.
//
// A part is a prefix block of a prompt that several requests share. A request shares a key with
// its repeats. Both follow the same rules, and where the code says part, it means either. When
// a server ends, each part of the requests that it held is a suspect, unless the part was
// answered lately. A part under which several servers ended is withheld for a while. Then the
// instances try it in turn: an answer clears the part, and one more end withholds it for
// longer. All instances share what they saw, since each of them sees few of the ends.
//
// The package does no I/O and reads no clock. Parts and servers are keys of 32 bits, and the
// key of a request has one bit more.
//
// Guarantees:
//
//   - A part is withheld only if withholdThreshold servers ended under it that are not all
//     explained by another part, under which more servers ended, or as many if that is a
//     request.
//   - A part that was answered lately, here or at an instance in touch, is not withheld.
//   - Each withholding ends by itself.
//   - Instances that exchange reports come to hold the same servers for each part, in
//     whatever order and however often the reports arrive, as long as the table has room.
//   - Telling each other does not keep a part's evidence from ageing.
//   - The table, the memory of answered parts and the reports are bounded.
package crashguard
