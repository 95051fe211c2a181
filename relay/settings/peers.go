package settings

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

const peerRemedy = `write {"name": "vm1", "address": "10.0.0.1:7300"}`

func peersField(path, comment string, target func(*Settings) *[]Peer) field {
	return field{
		path: path, comment: comment,
		read: func(p *parser, path string, v hujson.Value) error {
			list, ok := v.Value.(*hujson.Array)
			if !ok {
				return p.typeError(path, v, "write a list, each entry "+strings.TrimPrefix(peerRemedy, "write "))
			}
			for i, element := range list.Elements {
				peer, err := parsePeer(p, fmt.Sprintf("%s[%d]", path, i), element)
				if err != nil {
					return err
				}
				*target(&p.settings) = append(*target(&p.settings), peer)
			}
			return nil
		},
		format: func(s Settings) string {
			entries := make([]string, 0, len(*target(&s)))
			for _, peer := range *target(&s) {
				entries = append(entries, fmt.Sprintf(`{"name": %s, "address": %s}`, strconv.Quote(peer.Name), strconv.Quote(peer.Address.String())))
			}
			return "[" + strings.Join(entries, ", ") + "]"
		},
	}
}

func parsePeer(p *parser, path string, v hujson.Value) (Peer, error) {
	var peer Peer
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return peer, p.typeError(path, v, peerRemedy)
	}
	p.offsets[path] = v.StartOffset
	for _, member := range object.Members {
		fullPath := path + "." + stringValue(member.Name)
		if _, ok := p.offsets[fullPath]; ok {
			return peer, p.errorAt(member.Name.StartOffset, fullPath, "the field is given twice", "remove one of them")
		}
		p.offsets[fullPath] = member.Name.StartOffset
		switch stringValue(member.Name) {
		case "name":
			if member.Value.Value.Kind() != '"' {
				return peer, p.typeError(fullPath, member.Value, "write text between quotes")
			}
			if remedy := checkName(stringValue(member.Value)); remedy != "" {
				return peer, p.valueError(fullPath, member.Value, remedy)
			}
			peer.Name = stringValue(member.Value)
		case "address":
			parsed, err := parseAddress(p, fullPath, member.Value)
			if err != nil {
				return peer, err
			}
			if parsed.Addr().IsUnspecified() {
				return peer, p.valueError(fullPath, member.Value, "write the IP address at which other VMs reach it")
			}
			peer.Address = parsed
		default:
			return peer, p.errorAt(member.Name.StartOffset, fullPath, "unknown field", "use one of name, address")
		}
	}
	if peer.Name == "" || !peer.Address.IsValid() {
		return peer, p.errorAt(v.StartOffset, path, "the entry needs both a name and an address", peerRemedy)
	}
	return peer, nil
}
