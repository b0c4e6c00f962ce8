/*
 * A trainer's step with cursor pulls, two owners and hand-over.
 *
 * The trainer pulls through any gate; its cursor lists the slots that it has received. Gates fill slots independently,
 * both may own the step, at most two gates crash or shut down gracefully, which hands samples over, and answers are lost
 * or arrive after the trainer has abandoned the pull. Each slot must be delivered exactly once.
 *
 * Variants that must fail: NO_CURSOR, TAKE_LATE_ANSWER, NO_RESUBMIT.
 */

#define ALL 3 /* two slots, one bit each */
#define LOSSES 1
#define DEATHS 2

byte filled[2];     /* slots that a gate has filled */
bool knows[2];      /* the gate runs the step */
byte gave[2];       /* slots that a gate has sent, for the variant NO_CURSOR */
byte losses, deaths;
bool done;

/* Only abandoned pulls can be answered late, so the number of abandoned pulls is sufficient as the serial number
 * of a pull. */
chan pull[2] = [3] of { byte, byte };  /* serial, cursor */
chan answer = [4] of { byte, bool, byte }; /* serial, known, slots */

proctype Trainer() {
	byte cursor, serial, got_serial, batch, g;
	bool known;

	knows[0] = true;
	do
	:: cursor == ALL -> break
	:: else ->
		if
		:: g = 0
		:: g = 1
		fi;
		pull[g] ! serial, cursor;
		do
		:: answer ? got_serial, known, batch ->
			if
#ifdef TAKE_LATE_ANSWER
			:: true ->
#else
			:: got_serial == serial ->
#endif
				if
				:: known ->
					assert((batch & cursor) == 0);
					cursor = cursor | batch
				:: else ->
#ifndef NO_RESUBMIT
					knows[g] = true;
#endif
					gave[g] = 0
				fi;
				break
			:: else
			fi
		:: losses < LOSSES -> losses++; serial++; break /* abandons the pull; its answer may still arrive */
		od
	od;
	done = true
}

/* The engines that generate samples for one gate. */
proctype Engines(byte me) {
end:
	do
	:: atomic { knows[me] && (filled[me] & 1) == 0 -> filled[me] = filled[me] | 1 }
	:: atomic { knows[me] && (filled[me] & 2) == 0 -> filled[me] = filled[me] | 2 }
	od
}

proctype Gate(byte me) {
	byte serial, cursor, batch;

end:
	do
	:: atomic { pull[me] ? serial, cursor ->
		if
		:: !knows[me] -> answer ! serial, false, 0
		:: else ->
#ifdef NO_CURSOR
			batch = filled[me] & (ALL - gave[me]);
			gave[me] = gave[me] | batch;
#else
			batch = filled[me] & (ALL - cursor);
#endif
			answer ! serial, true, batch
		fi
	}
	:: atomic { losses < LOSSES && nempty(pull[me]) -> /* the answer is lost: the trainer receives no samples */
		pull[me] ? serial, cursor;
		losses++;
		answer ! serial, true, 0
	}
	:: atomic { deaths < DEATHS && knows[me] -> deaths++; knows[me] = false; filled[me] = 0; gave[me] = 0 }
	:: atomic { deaths < DEATHS && knows[me] -> /* graceful shutdown */
		deaths++;
		filled[1 - me] = filled[1 - me] | filled[me];
		knows[1 - me] = true;
		knows[me] = false; filled[me] = 0; gave[me] = 0
	}
	od
}

init {
	atomic {
		run Trainer();
		run Gate(0);
		run Gate(1);
		run Engines(0);
		run Engines(1)
	}
}

ltl delivered { <> done }
