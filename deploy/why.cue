// The record of decisions, and who may ask for it: `thymeknot why ID`, `thymeknot why find --lane pay`.
// Off where this file isn't named: python -m thymeknot --operator deploy/why.cue serve
why: {
	megabytes: 8                       // some 10,400 entries
	// directory: "record"             // a mapped file that outlives the program; without it: memory
	listen: "127.0.0.1:6390"           // or "unix:why.sock", for its owner alone
	costly:   0.4                      // part for lanes with an effect, by what they earn
	ordinary: 0.2                      // part for an even sample of what went as usual
	span:     "15m"
}
