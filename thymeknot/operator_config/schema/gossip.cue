// Talk among instances: who may speak, how much, and what of it is believed.
#Gossip: {
	name:   string & =~"^[A-Za-z0-9._-]{1,32}$"      // this instance's name in the ring
	listen: #Address                                 // UDP
	announce?: #Address                              // where others reach it, if not at `listen`
	key:    string & !=""                            // file of the private key, PEM; relative to this file
	seeds:  [...#Address] | *[]                      // asked at the start and while nobody answers
	from:   [...string & =~"^[0-9a-fA-F:.]+(/[0-9]+)?$"]   // networks that peers speak from; all else is dropped

	// The ring: what each peer signs with. During a rotation a peer has two keys.
	peers: [...#Peer]
	revoked: [...#Key] | *[]                         // believed by nobody, whatever the peers' records say

	probe_every:   duration & >="100ms" & <="1m" | *"1s"
	probe_timeout: duration & >="10ms" & <="10s" | *"300ms"
	relays:        int & >=0 & <=8 | *3              // asked to probe in one's stead
	suspect_times: int & >=1 & <=32 | *5             // periods, times the logarithm of the members

	ceiling: {
		bytes:     int & >=2000 & <=10000000 | *32000   // a second, out
		datagrams: int & >=5 & <=10000 | *60            // a second, out
	}
	verifications: {
		total:   int & >=10 & <=20000 | *600            // signatures checked a second
		peer:    int & >=5 & <=2000 | *120              // of them, for one peer's address
		unknown: int & >=1 & <=1000 | *20               // of them, for all addresses that proved nothing
	}
	hearsay: {
		witnesses: int & >=2 & <=64 | *3                // groups whose words agree, at the least
		liars:     int & >=0 & <=32 | *1                // the words most against a pod that are left out
		enough:    int & >=2 & <=1000 | *3              // deliveries behind what is left
		bar:       number & >0 & <1 | *0.35             // of them failed
		most_share: number & >=0 & <=0.5 | *0.25        // of a build's ready pods, doubted at once
		lapse:     duration & >="1s" & <="5m" | *"20s"  // what was seen longer ago counts for nothing
		doubt:     duration & >="100ms" & <="30s" | *"4s"  // a pod is turned to later for so long, then looked at
		match_address: bool | *true                     // false where each instance reaches a pod at another address
	}
}

#Peer: {
	name:  string & =~"^[A-Za-z0-9._-]{1,32}$"
	group?: string & !=""                            // instances that fail or lie together count as one witness
	keys:  [...{key: #Key, until?: string & =~"^[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{5,8}Z$"}]
}

#Key:     string & =~"^[A-Za-z0-9+/]{43}=$"          // 32 bytes of Ed25519, base64
#Address: string & =~"^([0-9.]+|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"
