/*
 * Claims of one idempotency key. Each sending of the request makes a Claim at an entry
 * process and names one agent process. A record that was sent to the log may take effect
 * at any later step, never, or twice; whoever reads the log may do so with any delay, so
 * outages, lost replies and pauses are delays here. A process that restarts is a new
 * process.
 */
module claims

sig Entry {}
sig Agent {}
sig Claim { holder: one Entry, agent: one Agent }

var sig AliveEntry in Entry {}
var sig AliveAgent in Agent {}

-- The log: records on their way, and what the fold of those that took effect gives.
var sig SentClaim in Claim {}
var sig SentRelease in Claim {}
var lone sig Holding in Claim {}
var sig Won in Claim {}
var sig Tombstone in Claim {}
var sig Folded in Claim { var lostTo: lone Claim }

-- What the holder of a claim did.
var sig GivenUp in Claim {}
var sig SaidNotRun in Claim {}
var sig Dispatched in Claim {}

-- What agents remember.
var sig Seen in Claim {}
var sig Fenced in Claim {}

-- What happened.
var sig Ran in Claim {}
var sig RanTwice in Claim {}

abstract sig Fault {}
one sig ReleaseWithoutFence, AgentForgets, GiveUpAfterDispatch, GivenUpIsDispatched, GateOpen, LastWins extends Fault {}
one sig Model { faults: set Fault }

pred init {
  AliveEntry = Entry and AliveAgent = Agent
  no SentClaim and no SentRelease and no Holding and no Won and no Tombstone and no Folded
  no GivenUp and no SaidNotRun and no Dispatched and no Seen and no Fenced and no Ran and no RanTwice
}

pred sameLog { Holding' = Holding and Won' = Won and Tombstone' = Tombstone and Folded' = Folded and lostTo' = lostTo }
pred sameSent { SentClaim' = SentClaim and SentRelease' = SentRelease }
pred sameHolder { GivenUp' = GivenUp and SaidNotRun' = SaidNotRun and Dispatched' = Dispatched }
pred sameAgent { Seen' = Seen and Fenced' = Fenced and Ran' = Ran and RanTwice' = RanTwice }
pred sameAlive { AliveEntry' = AliveEntry and AliveAgent' = AliveAgent }

pred send[x: Claim] {
  x not in SentClaim and x.holder in AliveEntry
  SentClaim' = SentClaim + x and SentRelease' = SentRelease
  sameLog and sameHolder and sameAgent and sameAlive
}

pred claimTakesEffect[x: Claim] {
  x in SentClaim
  let wins = (no Holding or LastWins in Model.faults) and x not in Tombstone | {
    wins implies (Holding' = x and Won' = Won + x) else (Holding' = Holding and Won' = Won)
    (wins or x in Folded or no Holding) implies lostTo' = lostTo else lostTo' = lostTo + x->Holding
  }
  Folded' = Folded + x and Tombstone' = Tombstone
  sameSent and sameHolder and sameAgent and sameAlive
}

pred releaseTakesEffect[x: Claim] {
  x in SentRelease
  Tombstone' = Tombstone + x and Holding' = Holding - x
  Won' = Won and Folded' = Folded and lostTo' = lostTo
  sameSent and sameHolder and sameAgent and sameAlive
}

-- The claim was not settled in time: the caller is told "not run".
pred giveUp[x: Claim] {
  x.holder in AliveEntry and x in SentClaim and x not in GivenUp
  x not in Dispatched or GiveUpAfterDispatch in Model.faults
  GivenUp' = GivenUp + x and SaidNotRun' = SaidNotRun + x and Dispatched' = Dispatched
  SentRelease' = SentRelease + x and SentClaim' = SentClaim
  sameLog and sameAgent and sameAlive
}

pred dispatch[x: Claim] {
  x.holder in AliveEntry and x in Won
  x not in GivenUp or GivenUpIsDispatched in Model.faults
  Dispatched' = Dispatched + x and GivenUp' = GivenUp and SaidNotRun' = SaidNotRun
  sameSent and sameLog and sameAgent and sameAlive
}

-- A dispatch may arrive late and twice.
pred arrive[x: Claim] {
  x in Dispatched and x.agent in AliveAgent
  x not in Seen + Fenced or GateOpen in Model.faults
  Seen' = Seen + x and Ran' = Ran + x and RanTwice' = RanTwice + (x & Ran) and Fenced' = Fenced
  sameSent and sameLog and sameHolder and sameAlive
}

-- The holder, or another entry that lost to the claim, has the agent fence it, and releases it.
pred fenceAndRelease[x: Claim, e: Entry] {
  e in AliveEntry
  (e = x.holder and x in Dispatched) or (some y: Claim | y.holder = e and y.lostTo = x)
  ReleaseWithoutFence in Model.faults or (x.agent in AliveAgent and x not in Seen)
  Fenced' = (ReleaseWithoutFence in Model.faults implies Fenced else Fenced + x)
  SentRelease' = SentRelease + x and SentClaim' = SentClaim
  e = x.holder implies (GivenUp' = GivenUp + x and SaidNotRun' = SaidNotRun + x)
    else (GivenUp' = GivenUp and SaidNotRun' = SaidNotRun)
  Dispatched' = Dispatched and Seen' = Seen and Ran' = Ran and RanTwice' = RanTwice
  sameLog and sameAlive
}

pred entryDies[e: Entry] {
  AliveEntry' = AliveEntry - e and AliveAgent' = AliveAgent
  sameSent and sameLog and sameHolder and sameAgent
}

-- The fault: the new process answers for the old one.
pred agentDies[a: Agent] {
  AgentForgets in Model.faults
    implies (AliveAgent' = AliveAgent and Seen' = Seen - agent.a and Fenced' = Fenced - agent.a)
    else (AliveAgent' = AliveAgent - a and Seen' = Seen and Fenced' = Fenced)
  AliveEntry' = AliveEntry and Ran' = Ran and RanTwice' = RanTwice
  sameSent and sameLog and sameHolder
}

pred idle { sameSent and sameLog and sameHolder and sameAgent and sameAlive }

pred step {
  idle
  or (some x: Claim | send[x] or claimTakesEffect[x] or releaseTakesEffect[x] or giveUp[x] or dispatch[x] or arrive[x])
  or (some x: Claim, e: Entry | fenceAndRelease[x, e])
  or (some e: Entry | entryDies[e])
  or (some a: Agent | agentDies[a])
}

fact behaviour { init and always step }

pred atMostOnce { always (lone Ran and no RanTwice) }
pred notRunIsTrue { always no SaidNotRun & Ran }
pred without { no Model.faults }
pred with[f: Fault] { Model.faults = f }

-- What must hold.
check AtMostOnce { without implies atMostOnce } for 3 but 3 Claim, 2 Entry, 2 Agent, 12 steps expect 0
check NotRunIsTrue { without implies notRunIsTrue } for 3 but 3 Claim, 2 Entry, 2 Agent, 12 steps expect 0

-- The model does something: a key is recovered from a dead entry and runs; a release comes before its claim.
run RecoversFromDeadEntry {
  without and eventually (some x, y: Claim | x.holder not in AliveEntry and x in Won and y.holder in AliveEntry
    and x.holder != y.holder and y in Ran)
} for 3 but 2 Claim, 2 Entry, 1 Agent, 12 steps expect 1
run LateClaimAfterRelease {
  without and eventually (some x: Claim | x in Folded and x not in Won and x in Tombstone and no x.lostTo)
} for 3 but 1 Claim, 1 Entry, 1 Agent, 8 steps expect 1

-- Each rule is needed: without it a counterexample is found.
check NeedsFence { with[ReleaseWithoutFence] implies atMostOnce } for 3 but 2 Claim, 2 Entry, 2 Agent, 12 steps expect 1
check NeedsProcessIds { with[AgentForgets] implies atMostOnce } for 3 but 2 Claim, 2 Entry, 2 Agent, 14 steps expect 1
check NeedsFenceBeforeNotRun { with[GiveUpAfterDispatch] implies notRunIsTrue } for 3 but 1 Claim, 1 Entry, 1 Agent, 10 steps expect 1
check NeedsGivenUpMark { with[GivenUpIsDispatched] implies notRunIsTrue } for 3 but 1 Claim, 1 Entry, 1 Agent, 10 steps expect 1
check NeedsGate { with[GateOpen] implies atMostOnce } for 3 but 1 Claim, 1 Entry, 1 Agent, 10 steps expect 1
check NeedsFirstWins { with[LastWins] implies atMostOnce } for 3 but 2 Claim, 2 Entry, 1 Agent, 10 steps expect 1
