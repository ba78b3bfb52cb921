// The record of decisions: how much is kept, where, and who may ask.
#Why: {
	megabytes: int & >=1 & <=4096 | *8               // of the record; what is kept for how long follows from it
	directory?: string & !=""                        // a mapped file there outlives the program; left out: memory
	listen: string & =~"^(unix:.+|127\\.0\\.0\\.1:[0-9]{1,5}|\\[::1\\]:[0-9]{1,5})$" | *"127.0.0.1:6390"
	costly:   number & >=0.1 & <=0.8 | *0.4          // part for lanes with an effect
	ordinary: number & >=0.05 & <=0.5 | *0.2         // part for an even sample of what went as usual
	span:     duration & >="10s" & <="24h" | *"15m"  // that the sample is spread over
	answers:  int & >=1 & <=10000 | *200             // entries in one answer, at the most
}
