// Gossip between instances: peers, traffic limits, and when evidence from peers is accepted.
#Gossip: {
	name:   string & =~"^[A-Za-z0-9._-]{1,32}$"      // this instance's name in the keyring
	listen: #Address                                 // UDP
	announce?: #Address                              // address at which peers reach it, if not `listen`
	key:    string & !=""                            // private key file, PEM; relative to this file
	seeds:  [...#Address] | *[]                      // probed at startup and while no peer answers
	from:   [...string & =~"^[0-9a-fA-F:.]+(/[0-9]+)?$"]   // networks of the peers; datagrams from others are dropped

	// The keyring: public keys of each peer. A peer has two keys during a key rotation.
	peers: [...#Peer]
	revoked: [...#Key] | *[]                         // rejected, even if listed under `peers`

	probe_every:   duration & >="100ms" & <="1m" | *"1s"
	probe_timeout: duration & >="10ms" & <="10s" | *"300ms"
	relays:        int & >=0 & <=8 | *3              // peers asked to probe a peer that did not answer
	suspect_times: int & >=1 & <=32 | *5             // duration of a suspicion: this many periods times ln(group size)

	ceiling: {
		bytes:     int & >=2000 & <=10000000 | *32000   // outgoing bytes per second
		datagrams: int & >=5 & <=10000 | *60            // outgoing datagrams per second
	}
	verifications: {
		total:   int & >=10 & <=20000 | *600            // signature verifications per second
		peer:    int & >=5 & <=2000 | *120              // of these, for the validated address of one peer
		unknown: int & >=1 & <=1000 | *20               // of these, for all addresses that are not validated
	}
	hearsay: {
		witnesses: int & >=2 & <=64 | *3                // minimum number of groups that agree
		liars:     int & >=0 & <=32 | *1                // groups that may lie: this much of the evidence most against an endpoint is discarded
		enough:    int & >=2 & <=1000 | *3              // minimum attempts covered by the remaining evidence
		bar:       number & >0 & <1 | *0.35             // minimum share of failed attempts
		most_share: number & >=0 & <=0.5 | *0.25        // maximum share of a build's ready endpoints suspected at once
		lapse:     duration & >="1s" & <="5m" | *"20s"  // how long evidence is valid
		doubt:     duration & >="100ms" & <="30s" | *"4s"  // duration of a first suspicion: the endpoint is chosen last, then used again
		match_address: bool | *true                     // false if instances reach an endpoint at different addresses
	}
}

#Peer: {
	name:  string & =~"^[A-Za-z0-9._-]{1,32}$"
	group?: string & !=""                            // instances that may fail or lie together; they count as one witness
	keys:  [...{key: #Key, until?: string & =~"^[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{5,8}Z$"}]
}

#Key:     string & =~"^[A-Za-z0-9+/]{43}=$"          // Ed25519 public key, 32 bytes in base64
#Address: string & =~"^([0-9.]+|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"
