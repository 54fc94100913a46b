/*
 * Acceptance and confirmation of configuration. Changes stand in the log in their order;
 * a host holds a prefix of them. Any host may do something in a step, so that a few steps
 * hold much. An outage of the log or of a link is an action that does not happen, a pause
 * is a delay.
 *
 * Time: a host asks at an instant and notes what was accepted by then (askMark). When it
 * takes the answers as a confirmation as of that instant, it must hold the askMark. The
 * lease is then arithmetic: it serves until the instant plus the age limit.
 */
module configuration

open util/ordering[Change] as order

sig Host {
  var held: set Change,
  var joinMark: set Change,
  var askMark: set Change,
  var logMark: set Change,
  var answered: set Host,
  var answerHeld: set Change,
  var confirmed: set Change,
  var known: set Change
}

-- The list of confirming hosts from this change on.
sig Change { list: some Host, var acks: set Host }

one sig First { list0: some Host }

var sig Logged in Change {}
var sig Accepted in Change {}
var sig Joined in Host {}
var sig Asking in Host {}
var sig Marking in Host {}

abstract sig Fault {}
one sig RestartedCounts, NewestListOnly, TwoListsOnly, OldAnswers, StaleHead, PeerAsOfNow extends Fault {}
one sig Model { faults: set Fault }

pred counts[h: Host] { RestartedCounts in Model.faults or (h in Joined and h.joinMark in h.held) }

pred majority[s, l: set Host] { #(s & l) > #(l - s) }

-- The changes whose lists matter to a reader that holds p and knows k to be accepted.
fun listed[p, k: set Change]: set Change {
  NewestListOnly in Model.faults => max[p]
  else (TwoListsOnly in Model.faults => max[p] + max[p].prev else p - prevs[max[k]])
}

pred majorities[s: set Host, p, k: set Change] {
  all c: listed[p, k] | majority[s, c.list]
  needsFirst[p, k] implies majority[s, First.list0]
}

pred needsFirst[p, k: set Change] {
  NewestListOnly in Model.faults => no p
  else (TwoListsOnly in Model.faults => lone p else no k)
}

pred acceptable[c: Change] {
  some h: Host | c in h.held and majorities[c.acks', c + c.prevs, h.known & (c + c.prevs)]
}

pred init {
  no held and no joinMark and no askMark and no logMark and no answered and no answerHeld and no confirmed and no known
  no acks and no Logged and no Accepted and no Asking and no Marking
  Joined = Host
}

pred sameQuestion[h: Host] {
  h.askMark' = h.askMark and h.logMark' = h.logMark and (h in Asking' iff h in Asking) and (h in Marking' iff h in Marking)
}
pred sameAnswers[h: Host] { h.answered' = h.answered and h.answerHeld' = h.answerHeld }
pred sameJoin[h: Host] { h.joinMark' = h.joinMark and (h in Joined' iff h in Joined) }
pred sameHeld[h: Host] { h.held' = h.held }
pred sameConfirmed[h: Host] { h.confirmed' = h.confirmed }

pred idle[h: Host] { sameQuestion[h] and sameAnswers[h] and sameJoin[h] and sameHeld[h] and sameConfirmed[h] }

-- Reads any prefix of the log that is longer, or catches up from a peer.
pred read[h: Host] {
  h.held in h.held' and h.held' in Logged and h.held'.prevs in h.held'
  sameQuestion[h] and sameAnswers[h] and sameJoin[h] and sameConfirmed[h]
}

pred restart[h: Host] {
  no h.held' and no h.joinMark' and no h.askMark' and no h.logMark' and no h.answered' and no h.answerHeld'
  no h.confirmed' and h not in Joined' + Asking' + Marking'
}

pred join[h: Host] {
  h not in Joined and h in Joined' and h.joinMark' = Logged
  sameQuestion[h] and sameAnswers[h] and sameHeld[h] and sameConfirmed[h]
}

pred ask[h: Host] {
  h in Asking' and h not in Marking' and h.askMark' = Accepted and no h.logMark'
  OldAnswers in Model.faults implies sameAnswers[h] else (no h.answered' and no h.answerHeld')
  sameJoin[h] and sameHeld[h] and sameConfirmed[h]
}

pred gather[h: Host] {
  h in Asking
  h.answered in h.answered' and h.answered' in h.answered + { p: Host | counts[p] }
  h.answerHeld' = h.answerHeld + (h.answered' - h.answered).held
  sameQuestion[h] and sameJoin[h] and sameHeld[h] and sameConfirmed[h]
}

pred confirmByMajority[h: Host] {
  h in Asking and majorities[h.answered, h.held, h.known] and h.answerHeld in h.held
  h.confirmed' = h.askMark and h not in Asking'
  h.askMark' = h.askMark and h.logMark' = h.logMark and (h in Marking' iff h in Marking)
  sameAnswers[h] and sameJoin[h] and sameHeld[h]
}

-- The host appends a record of its own at an instant and later reads past it.
pred mark[h: Host] {
  h in Marking' and h not in Asking' and h.askMark' = Accepted and h.logMark' = Logged
  no h.answered' and no h.answerHeld'
  sameJoin[h] and sameHeld[h] and sameConfirmed[h]
}

-- The fault: any head that equals what is held is taken, also an old one.
pred confirmByLog[h: Host] {
  h in Marking and (StaleHead in Model.faults or h.logMark in h.held)
  h.confirmed' = h.askMark and h not in Marking'
  h.askMark' = h.askMark and h.logMark' = h.logMark and (h in Asking' iff h in Asking)
  sameAnswers[h] and sameJoin[h] and sameHeld[h]
}

pred confirmByPeer[h: Host] {
  some p: Host - h | some p.confirmed and p.held in h.held and h.confirmed' = (PeerAsOfNow in Model.faults implies Accepted else p.confirmed)
  sameQuestion[h] and sameAnswers[h] and sameJoin[h] and sameHeld[h]
}

pred hostStep[h: Host] {
  (idle[h] or read[h] or restart[h] or join[h] or ask[h] or gather[h] or confirmByMajority[h] or mark[h]
    or confirmByLog[h] or confirmByPeer[h])
  h.known' in Accepted' & h.held'
}

pred logStep {
  Logged' = Logged or (some c: Change - Logged | c.prevs in Logged and Logged' = Logged + c)
}

pred acceptStep {
  all c: Change | c.acks in c.acks' and c.acks' in c.acks + { h: Host | counts[h] and c in h.held }
  Accepted in Accepted'
  all c: Accepted' - Accepted | some d: c + c.nexts | acceptable[d]
  Accepted'.prevs in Accepted'
}

fact behaviour { init and always (logStep and acceptStep and all h: Host | hostStep[h]) }

pred holdsAccepted { always all h: Host | h.confirmed in h.held }
pred without { no Model.faults }
pred with[f: Fault] { Model.faults = f }
pred oneList { all c: Change | c.list = First.list0 }

-- What must hold: who serves as of an instant holds what was accepted by then.
check HoldsAccepted { (without and oneList) implies holdsAccepted } for 3 but 3 Host, 2 Change, 9 steps expect 0
check HoldsAcceptedWhileListsChange { without implies holdsAccepted } for 3 but 5 Host, 2 Change, 8 steps expect 0

-- The model does something: a host restarts while the log is not read, and serves on its peers' word.
run ServesWithoutLog {
  without and oneList and eventually (some h: Host | once (h not in Joined) and some h.confirmed
    and h not in Joined)
} for 3 but 3 Host, 1 Change, 9 steps expect 1
run AcceptedWithNewList {
  without and #First.list0 = 2 and eventually (some c: Accepted | c.list != First.list0 and some h: Host | c in h.confirmed)
} for 3 but 3 Host, 1 Change, 9 steps expect 1

-- Each rule is needed.
check NeedsCountingAfterLog { (with[RestartedCounts] and oneList) implies holdsAccepted } for 3 but 3 Host, 1 Change, 9 steps expect 1
check NeedsBothLists { with[NewestListOnly] implies holdsAccepted } for 3 but 4 Host, 1 Change, 8 steps expect 1
check NeedsAllOpenLists { with[TwoListsOnly] implies holdsAccepted } for 3 but 5 Host, 2 Change, 8 steps expect 1
check NeedsFreshAnswers { (with[OldAnswers] and oneList) implies holdsAccepted } for 3 but 3 Host, 1 Change, 10 steps expect 1
check NeedsOwnRecord { (with[StaleHead] and oneList) implies holdsAccepted } for 3 but 3 Host, 1 Change, 8 steps expect 1
check NeedsAgeOfPeer { (with[PeerAsOfNow] and oneList) implies holdsAccepted } for 3 but 3 Host, 2 Change, 10 steps expect 1
