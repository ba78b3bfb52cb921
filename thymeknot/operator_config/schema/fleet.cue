// Coordination of drains: the Raft nodes (`keepers`), the units, and the disruption budgets.
#Fleet: {
	name:   string & =~"^[A-Za-z0-9._-]{1,32}$"      // this instance's name in the keyring
	key:    string & !=""                            // private key file, PEM; relative to this file
	data:   string & !=""                            // data folder on a persistent disk; used by this instance only
	lineage?: string & !=""                          // file by which an outdated copy of `data` is recognized; preferably on another disk
	listen?: #Address                                // TCP address of this instance's Raft node, if not the one in `keepers`
	founds: bool | *false                            // bootstraps a new cluster on the node's first start; remove afterwards
	from: [...string & =~"^[0-9a-fA-F:.]+(/[0-9]+)?$"]   // networks from which peers may connect

	keepers: [...#Keeper]                            // the Raft nodes: 1, 3, 5 or 7, the same in all files
	peers: [...#Peer] | *[]                          // other identities that may send commands: sidecars and operators
	revoked: [...#Key] | *[]

	unit?: string & !=""                             // name of this sidecar's unit, if it may be drained
	build: string | *""                              // build that the unit runs
	epoch: int & >=1 & <=1000000000 | *1             // epoch of the following declarations; the highest epoch is in force
	units: [...#Unit]
	budgets: [...#Budget]
	bound:  duration & >="200ms" & <="1m" | *"2s"    // without a reply for this long, a unit starts no drain
	silent: duration & >="200ms" & <="10m" | *"3s"   // without a ready report for this long, a unit counts as unavailable
	permit: duration & >="200ms" & <="10m" | *"10s"  // expiry of an unused permit
	tick:   duration & >="50ms" & <="10s" | *"200ms" // interval at which the leader advances the replicated time
}

#Keeper: {
	name:    string & =~"^[A-Za-z0-9._-]{1,32}$"
	address: #Address                                // address at which this instance reaches it
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

// Exactly one of `most`, `share` and `least` is required. With `each`, every value of that label has
// its own budget.
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
