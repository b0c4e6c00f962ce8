/*
 * A trainer's step with cursor pulls, two owners and hand-over.
 *
 * The trainer pulls through any gate and states in its cursor which slots it holds. Gates fill slots by themselves,
 * both may hold the step, either dies once, a planned stop hands samples over, answers are lost or come after the trainer
 * has given the pull up. Each slot must arrive exactly once.
 *
 * Variants that must fail: NO_CURSOR, TAKE_LATE_ANSWER, NO_RESUBMIT.
 */

#define ALL 3 /* two slots, one bit each */
#define LOSSES 1
#define DEATHS 2

byte filled[2];     /* slots that a gate holds */
bool knows[2];      /* the gate runs the step */
byte gave[2];       /* slots that a gate has answered with, for the variant NO_CURSOR */
byte losses, deaths;
bool done;

/* A pull that was answered is over; only those that were given up can be answered late. So the number of pulls
 * given up tells the pulls apart. */
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
		:: losses < LOSSES -> losses++; serial++; break /* gives the pull up; its answer may still come */
		od
	od;
	done = true
}

/* The engines of one gate's step. */
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
	:: atomic { losses < LOSSES && nempty(pull[me]) -> /* the answer is lost on the way */
		pull[me] ? serial, cursor;
		losses++;
		answer ! serial, true, 0
	}
	:: atomic { deaths < DEATHS && knows[me] -> deaths++; knows[me] = false; filled[me] = 0; gave[me] = 0 }
	:: atomic { deaths < DEATHS && knows[me] -> /* planned stop */
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
