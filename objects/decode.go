package objects

import (
	"encoding/json"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/shallowjson"
)

// Objects are decoded one by one, since another writer may have left one that can't be read: it
// must not cost the others of the same list, or the watch.

// decodeList decodes a list, and returns how many objects of it can't be read. They are left out.
func decodeList(raw []byte, list *api.List) (unreadable int, err error) {
	members, err := shallowjson.Members(raw)
	if err != nil {
		return 0, err
	}
	if err := shallowjson.Decode(members, "version", &list.Version); err != nil {
		return 0, err
	}
	items, ok := members["items"]
	if !ok {
		return 0, nil
	}
	elements, err := shallowjson.Elements(items)
	if err != nil {
		return 0, err
	}
	for _, element := range elements {
		obj, err := decodeObject(element)
		if err != nil {
			unreadable++
			continue
		}
		list.Items = append(list.Items, obj)
	}
	return unreadable, nil
}

// decodeEvent decodes an event of a watch.
func decodeEvent(raw []byte) (api.WatchEvent, error) {
	var event api.WatchEvent
	members, err := shallowjson.Members(raw)
	if err != nil {
		return event, err
	}
	if err := shallowjson.Decode(members, "type", &event.Type); err != nil {
		return event, err
	}
	event.Object, err = decodeObject(members["object"])
	return event, err
}

// decodeObject decodes an object. A spec or status that encoding/json would not pass on is left
// out, so that the object counts as one with an invalid spec.
func decodeObject(raw []byte) (api.Object, error) {
	var obj api.Object
	members, err := shallowjson.Members(raw)
	if err != nil {
		return obj, err
	}
	for name, field := range map[string]any{"kind": &obj.Kind, "name": &obj.Name, "version": &obj.Version, "specVersion": &obj.SpecVersion} {
		if err := shallowjson.Decode(members, name, field); err != nil {
			return obj, err
		}
	}
	obj.Spec = validOrNone(members["spec"])
	obj.Status = validOrNone(members["status"])
	return obj, nil
}

func validOrNone(raw json.RawMessage) json.RawMessage {
	if !json.Valid(raw) {
		return nil
	}
	return raw
}
