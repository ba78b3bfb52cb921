// Talk among instances, for installations whose deployment allows it. Off where this file isn't named:
//     python -m thymeknot --operator deploy/gossip.cue
// Keys: python -m thymeknot.gossip.keys new n1 n1.key prints the record for everybody's `peers`.
gossip: {
	name:   "n1"
	listen: "127.0.0.1:7946"
	key:    "n1.key"                     // beside this file, readable by its owner alone
	seeds: ["127.0.0.1:7947", "127.0.0.1:7948"]
	from: ["127.0.0.0/8"]                // what comes from elsewhere is dropped unread

	peers: [
		{name: "n1", keys: [{key: "1AAw0DZ1WlCsgTTdX1mtbDDSR+AlbN1aIBj8BVe+gXE="}]},
		{name: "n2", group: "rack-7", keys: [
			// A rotation: both count until the old one's end.
			{key: "pM1vVt0VtC9eiLYWjfVd0NJoyZDcaT2G/wQCXYP1TXM=", until: "2027-01-31T00:00:00Z"},
			{key: "7S0TXNPJKjMxUXEhrG5tFDo5FTS0XzVoQTzzeSjwWKE="},
		]},
	]

	ceiling: bytes: 32000                // a second, out, whatever happens
	hearsay: {
		witnesses: 3                     // groups that must agree
		liars:     1                     // and whose worst words are left out
	}
}
