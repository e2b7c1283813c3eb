package larkbank.pilot;

import larkbank.quay.Load;
import larkbank.quay.Outcome;

/** What became of one attempt, and how busy its server was then; the load may be null. */
record Reply(Outcome outcome, Load load) {}
