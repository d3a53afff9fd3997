package org.fulmargap.rollout;

/**
 * How a software version has answered a call.
 */
public enum AnswerOutcome {

	/** Well, and about as fast as usual. */
	GOOD(new AnswerCounts(1, 0, 0)),

	/** With a failure that is the endpoint's fault. */
	FAILED(new AnswerCounts(1, 1, 0)),

	/** Well, but several times slower than usual. */
	SLOW(new AnswerCounts(1, 0, 1));

	private final AnswerCounts counts;

	AnswerOutcome(AnswerCounts counts) {
		this.counts = counts;
	}

	AnswerCounts counts() {
		return this.counts;
	}

}
