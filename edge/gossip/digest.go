package gossip

import (
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/objects"
)

// stated is the part of a message that instances of the version before don't send. With
// Revision and ServersDigest it makes the sender's digest.
type stated struct {
	// Era is the newest era of the store that the sender knows of.
	Era objects.Era `cbor:"16,keyasint,omitempty"`
	// ConfigurationVersion is the operator's version of the sender's configuration.
	ConfigurationVersion int64 `cbor:"17,keyasint,omitempty"`
	// ConfigurationEra is the era in which the sender's configuration was written, or 0 if
	// that is Era.
	ConfigurationEra objects.Era `cbor:"18,keyasint,omitempty"`
}

func newStated(d catalog.Digest) stated {
	s := stated{Era: d.Era, ConfigurationVersion: d.Configuration.Operator}
	if written := d.Configuration.Store.Era; written != d.Era {
		s.ConfigurationEra = written
	}
	return s
}

// digest returns the sender's digest. What the message doesn't state is as in this
// instance's own digest.
func (m message) digest(own catalog.Digest) catalog.Digest {
	d := catalog.Digest{Era: m.Era, Servers: m.ServersDigest}
	if d.Era == objects.EraUnstated {
		d.Era = own.Era
	}
	if m.Revision == 0 {
		// The sender has no configuration.
		return d
	}
	d.Configuration.Operator = m.ConfigurationVersion
	d.Configuration.Store = objects.Version{Era: m.ConfigurationEra, Revision: m.Revision}
	if m.ConfigurationEra == objects.EraUnstated {
		d.Configuration.Store.Era = d.Era
	}
	if m.ConfigurationVersion == 0 {
		// The version before orders configurations by revision alone.
		d.Configuration.Operator = own.Configuration.Operator
		d.Configuration.Store.Era = own.Configuration.Store.Era
	}
	return d
}

// difference says which records of a peer this instance lacks, or may lack.
type difference struct{ configuration, servers bool }

// differenceTo compares the digests of this instance and a peer. The servers of a peer
// that knows only an older era are of no use.
func differenceTo(own, peer catalog.Digest) difference {
	return difference{
		configuration: peer.Configuration.After(own.Configuration),
		servers:       peer.Era >= own.Era && peer.Servers != own.Servers,
	}
}
