/*
 * Claims on one idempotency key. The first claim in the log wins; gates learn the winner by reading the log.
 *
 * Gates append a claim under the ID of their incarnation. Answers to appends are lost, records
 * expire, snapshots carry the state forward and may be stale, gates crash and restart. A gate runs the request
 * if the first claim that it reads is its own. The request must run at most once.
 *
 * Variants that must fail: RUN_ON_APPEND, IGNORE_MISSED, SNAPSHOT_WITHOUT_TAIL, SAME_INCARNATION.
 */

#define GATES 2
#define INCARNATIONS 2 /* of the first gate; the second one does not crash */
#define RECORDS 5

mtype = { claim, snapshot };

typedef Record {
	mtype kind;
	byte id;      /* claim: its ID; snapshot: the winner's ID, 0 for none */
	byte through  /* snapshot: the last offset that it covers */
}

Record record[RECORDS + 1];
byte first = 1; /* the oldest retained offset */
byte next = 1;  /* the offset of the next append */
byte runs;      /* executions of the request */

inline append(k, i, t) {
	record[next].kind = k;
	record[next].id = i;
	record[next].through = t;
	next++
}

inline start(incarnation) {
#ifdef SAME_INCARNATION
	id = 1 + g * INCARNATIONS;
#else
	id = 1 + g * INCARNATIONS + incarnation;
#endif
	at = first;
	ready = (first == 1);
	winner = 0;
	ran = false;
	appended = false
}

/* Reads one record in offset order, or detects that unread records have expired. */
inline read_one() {
	if
	:: at < first ->
		at = first;
#ifndef IGNORE_MISSED
		ready = false
#endif
	:: at >= first && at < next ->
		if
		:: record[at].kind == claim && ready && winner == 0 -> winner = record[at].id; at++
#ifdef SNAPSHOT_WITHOUT_TAIL
		:: record[at].kind == snapshot && !ready ->
#else
		:: record[at].kind == snapshot && !ready && record[at].through + 1 >= first ->
#endif
			winner = record[at].id;
			ready = true;
#ifdef SNAPSHOT_WITHOUT_TAIL
			at++
#else
			at = record[at].through + 1
#endif
		:: else -> at++
		fi
	fi
}

inline execute() {
	runs++;
	assert(runs <= 1);
	ran = true
}

proctype Gate(byte g) {
	byte id, at, winner, incarnation;
	bool ready, ran, appended;

	d_step { start(0) }
end:
	do
	:: /* append the claim; if the answer is lost, append it again */
		atomic { !ran && ready && winner == 0 && next <= RECORDS ->
			append(claim, id, 0);
			appended = true;
#ifdef RUN_ON_APPEND
			execute()
#endif
		}
	:: d_step { at < next || at < first -> read_one() }
	:: atomic { ready && winner == id && appended && !ran -> execute() }
	:: /* append a snapshot; at least one record stays free after it */
		d_step { ready && next < RECORDS -> append(snapshot, winner, at - 1) }
	:: /* crash and restart as the next incarnation */
		d_step { g == 0 && incarnation + 1 < INCARNATIONS -> incarnation++; start(incarnation) }
	:: next > RECORDS && at == next -> break
	od
}

/* Records expire at any time. */
proctype Retention() {
	do
	:: d_step { first < next -> first++ }
	:: break
	od
}

init {
	atomic {
		run Gate(0);
		run Gate(1);
		run Retention()
	}
}
