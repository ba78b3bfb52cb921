// What an operator's file may switch on. Each feature has a schema of its own beside this one.
gossip?: #Gossip
why?: #Why
fleet?: #Fleet
