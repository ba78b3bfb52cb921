// A fleet that agrees who may go out: its keepers, its units, the budgets that bind them.
#Fleet: {
	name:   string & =~"^[A-Za-z0-9._-]{1,32}$"      // this instance's name in the ring
	key:    string & !=""                            // file of the private key, PEM; relative to this file
	data:   string & !=""                            // folder of this instance alone, on a disk that lasts
	lineage?: string & !=""                          // file that tells an old copy of `data`; best on another disk
	listen?: #Address                                // TCP, of a keeper; else where `keepers` says
	founds: bool | *false                            // a keeper's first start of all; take it out afterwards
	from: [...string & =~"^[0-9a-fA-F:.]+(/[0-9]+)?$"]   // networks that the others speak from

	keepers: [...#Keeper]                            // 1, 3, 5 or 7, the same everywhere
	peers: [...#Peer] | *[]                          // the others that may speak: sidecars and operators
	revoked: [...#Key] | *[]

	unit?: string & !=""                             // this sidecar as a unit, if it may be drained
	build: string | *""                              // what it runs
	epoch: int & >=1 & <=1000000000 | *1             // of what is declared below; the highest one counts
	units: [...#Unit]
	budgets: [...#Budget]
	bound:  duration & >="200ms" & <="1m" | *"2s"    // a holder that was told nothing for so long begins nothing
	silent: duration & >="200ms" & <="10m" | *"3s"   // one not seen ready for so long counts as out
	permit: duration & >="200ms" & <="10m" | *"10s"  // one that was not begun for so long lapses
	tick:   duration & >="50ms" & <="10s" | *"200ms" // so often the keepers' time goes on
}

#Keeper: {
	name:    string & =~"^[A-Za-z0-9._-]{1,32}$"
	address: #Address                                // where this instance reaches it
	keys: [...{key: #Key, until?: string & =~"^[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{5,8}Z$"}]
}

#Unit: {
	name: string & !=""
	kind: "sidecar" | "pod"
	rack?: string & !=""
	zone?: string & !=""
	cluster?: string & !=""
	lane?: string & !=""
	service?: string & !=""
}

// Exactly one of most, share and least; `each` label's values have it each by itself.
#Budget: {
	name: string & !=""
	each?: "kind" | "rack" | "zone" | "cluster" | "lane" | "service"
	where?: {
		kind?: string
		rack?: string
		zone?: string
		cluster?: string
		lane?: string
		service?: string
	}
	most?:  int & >=1
	share?: number & >0 & <1
	least?: int & >=0
}
