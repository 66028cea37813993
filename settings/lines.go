package settings

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineOf returns the line of a dotted key, of its table if the key is absent,
// and else 1.
func lineOf(raw []byte, key string) int {
	table, _, _ := strings.Cut(key, ".")
	found := 1
	prefix := ""
	p := unstable.Parser{}
	p.Reset(raw)
	for p.NextExpression() {
		node := p.Expression()
		name, line := keyOf(&p, raw, node)
		switch node.Kind {
		case unstable.Table:
			prefix = name
			if name == table {
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

// keyOf returns an expression's dotted key and its line.
func keyOf(p *unstable.Parser, raw []byte, node *unstable.Node) (string, int) {
	var parts []string
	line := 1
	it := node.Key()
	for it.Next() {
		part := it.Node()
		if len(parts) == 0 {
			offset := int(p.Range(part.Data).Offset)
			line = 1 + bytes.Count(raw[:offset], []byte("\n"))
		}
		parts = append(parts, string(part.Data))
	}
	return strings.Join(parts, "."), line
}

func joinKey(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}
