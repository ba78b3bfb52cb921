// The decision log: its size, its storage, and access to it.
#Why: {
	megabytes: int & >=1 & <=4096 | *8               // size of the log; determines how far back it reaches
	directory?: string & !=""                        // folder of the memory-mapped file, which survives restarts; default: memory only
	listen: string & =~"^(unix:.+|127\\.0\\.0\\.1:[0-9]{1,5}|\\[::1\\]:[0-9]{1,5})$" | *"127.0.0.1:6390"
	costly:   number & >=0.1 & <=0.8 | *0.4          // share of the log for request classes that are not idempotent
	ordinary: number & >=0.05 & <=0.5 | *0.2         // share of the log for a uniform sample of ordinary transactions
	span:     duration & >="10s" & <="24h" | *"15m"  // period that the sample is meant to cover
	answers:  int & >=1 & <=10000 | *200             // maximum entries in the answer to one query
}
