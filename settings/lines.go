package settings

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineOf returns the line of a dotted key in the TOML text raw. If the text does
// not have the key, it returns the line of the key's table. If the text does not
// have that table either, it returns 1. Entries of an array of tables are named as
// by arrayEntry.
func lineOf(raw []byte, key string) int {
	table, _, _ := strings.Cut(key, ".")
	found := 1
	prefix := ""
	entries := make(map[string]int)
	parser := unstable.Parser{}
	parser.Reset(raw)
	for parser.NextExpression() {
		node := parser.Expression()
		name, line := keyAndLine(&parser, raw, node)
		switch node.Kind {
		case unstable.Table:
			prefix = name
			if name == table {
				found = line
			}
		case unstable.ArrayTable:
			prefix = arrayEntry(name, entries[name])
			entries[name]++
			if strings.HasPrefix(key, prefix+".") {
				found = line
			}
		case unstable.KeyValue:
			if joinKey(prefix, name) == key {
				return line
			}
		}
	}
	return found
}

// keyAndLine returns the dotted key of a TOML expression and the line of the key.
func keyAndLine(parser *unstable.Parser, raw []byte, node *unstable.Node) (string, int) {
	var parts []string
	line := 1
	keys := node.Key()
	for keys.Next() {
		part := keys.Node()
		if len(parts) == 0 {
			offset := int(parser.Range(part.Data).Offset)
			line = 1 + bytes.Count(raw[:offset], []byte("\n"))
		}
		parts = append(parts, string(part.Data))
	}
	return strings.Join(parts, "."), line
}

// arrayEntry returns the dotted key of an entry of an array of tables, counted from 0.
func arrayEntry(table string, index int) string { return fmt.Sprintf("%s[%d]", table, index) }

// joinKey returns the dotted key of a name in a table. Outside of tables the prefix
// is empty.
func joinKey(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}
