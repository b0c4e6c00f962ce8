/*
 * A lease by compare-and-set on the previous record, with paused holders.
 *
 * Two stewards contend. A record takes effect, when it is read back, if it names the newest effective
 * record as its predecessor. The holder's TTL starts when it first sends the record; a contender's wait
 * starts when it reads the newest record. Answers to appends are lost, so a record may be in the log
 * twice. Two stewards must never hold the lease at the same time, and an engine that checks fencing tokens
 * must never follow an order of an older holder after one of a newer holder, even if a paused holder acts late.
 *
 * Variants that must fail: NO_COMPARE, TIME_FROM_READ_BACK, NO_FENCING.
 */

#define STEWARDS 2
#define RECORDS 4
#define TTL 2
#define END 5 /* the clock stops here */

typedef Record {
	byte holder; /* steward + 1 */
	byte prev;
	byte sent    /* time of the first send */
}

Record record[RECORDS + 1];
byte next = 1;
byte now;
byte until[STEWARDS]; /* the end of each steward's lease */
byte seen;            /* the engine's newest fencing token */
byte followed;        /* the token of the last order that the engine followed */

proctype Steward(byte s) {
	byte at = 1;       /* the next offset to read */
	byte newest;       /* the newest record that took effect */
	byte holder;
	byte token;        /* fencing token: the offset at which holder acquired the lease */
	byte observed;     /* the time at which newest was read */
	byte sent, prev;
	byte order;        /* the token of the order in flight, 0 for none */
	bool pending;

	do
	:: /* read one record back */
		d_step { at < next ->
			if
#ifdef NO_COMPARE
			:: true ->
#else
			:: record[at].prev == newest ->
#endif
				if
				:: record[at].holder != holder -> token = at
				:: else
				fi;
				newest = at;
				holder = record[at].holder;
				observed = now;
				if
				:: holder == s + 1 ->
#ifdef TIME_FROM_READ_BACK
					until[s] = now + TTL
#else
					until[s] = record[at].sent + TTL
#endif
				:: else -> until[s] = 0
				fi;
				pending = pending && prev == newest
			:: else
			fi;
			at++
		}
	:: /* acquire or renew, first send; all records so far have been read */
		d_step { !pending && next <= RECORDS && at == next &&
			(newest == 0 || holder == s + 1 || now >= observed + TTL) ->
			pending = true;
			prev = newest;
			sent = now;
			record[next].holder = s + 1; record[next].prev = prev; record[next].sent = sent;
			next++
		}
	:: /* the answer was lost: resend the same record */
		d_step { pending && next <= RECORDS ->
			record[next].holder = s + 1; record[next].prev = prev; record[next].sent = sent;
			next++
		}
	:: d_step { pending && prev != newest -> pending = false }
	:: /* check the clock, then issue an order */
		d_step { holder == s + 1 && now < until[s] && order == 0 ->
			assert(now >= until[1 - s]);
			order = token
		}
	:: /* the order reaches the engine, after a delay of any length */
		d_step { order != 0 ->
			if
#ifdef NO_FENCING
			:: true ->
#else
			:: order >= seen ->
#endif
				assert(order >= followed);
				seen = order;
				followed = order
			:: else
			fi;
			order = 0
		}
	:: now == END -> break
	od
}

proctype Clock() {
	do
	:: now < END -> now++
	:: now == END -> break
	od
}

init {
	atomic {
		run Steward(0);
		run Steward(1);
		run Clock()
	}
}
