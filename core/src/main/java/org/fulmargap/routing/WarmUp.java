package org.fulmargap.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tracks the warm-up of one endpoint as one entry VM sees it. Not safe for use by several
 * threads.
 */
final class WarmUp {

	/** Late messages name one of the last few incarnations. */
	private static final int REMEMBERED_INCARNATIONS = 4;

	private static final int SLOW_ANSWERS_TO_RESTART = 5;

	private static final int SLOW_FACTOR = 3;

	/** Fewer answers give no reliable baseline. */
	private static final int BASELINE_ANSWERS = 10;

	private final Deque<String> formerIncarnations = new ArrayDeque<>();

	private final DurationWindow baseline = new DurationWindow(64);

	private String incarnation = "";

	private long incarnationSeenMs = Long.MIN_VALUE;

	private long startMs;

	private boolean observed;

	private long workMs;

	private long advancedToMs;

	private long workSeenMs = Long.MIN_VALUE;

	private int slowAnswers;

	/**
	 * Creates the state of an endpoint.
	 * @param observed whether the endpoint is known to start now; if it is not, the start
	 * is an assumption that is not sent to peers
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	WarmUp(boolean observed, long nowMs) {
		this.observed = observed;
		this.startMs = nowMs;
		this.advancedToMs = nowMs;
	}

	long startMs() {
		return this.startMs;
	}

	boolean isObserved() {
		return this.observed;
	}

	long workMs() {
		return this.workMs;
	}

	/**
	 * Lets the warm-up advance. Time counts only while the endpoint works, except for an
	 * entry VM without a share, which cannot see the work that others give it.
	 * @param hasShare whether this entry VM may send requests
	 * @param doublingMs the time in which the allowance doubles
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	void advance(boolean hasShare, long doublingMs, long nowMs) {
		boolean working = this.workSeenMs != Long.MIN_VALUE && nowMs - this.workSeenMs <= doublingMs;
		if (working || !hasShare) {
			this.workMs += Math.max(0, nowMs - this.advancedToMs);
		}
		this.advancedToMs = Math.max(this.advancedToMs, nowMs);
	}

	void workSeen(long nowMs) {
		this.workSeenMs = Math.max(this.workSeenMs, nowMs);
	}

	void restart(long nowMs) {
		this.startMs = Math.max(nowMs, this.startMs);
		this.observed = true;
		begin(nowMs);
	}

	/**
	 * Merges a start that another entry VM observed.
	 * @param peerStartMs the start
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return {@code true} if the warm-up starts again
	 */
	boolean merge(long peerStartMs, long nowMs) {
		// A start in the future would suppress all later ones of this endpoint.
		long start = Math.min(peerStartMs, nowMs);
		if (this.observed && start <= this.startMs) {
			return false;
		}
		this.startMs = start;
		this.observed = true;
		begin(nowMs);
		return true;
	}

	/**
	 * Takes the endpoint as warm, because it reports its full capacity and nobody
	 * observed a start.
	 * @param workMs the time of work that gives the full allowance
	 */
	void assumeWarm(long workMs) {
		if (!this.observed) {
			this.workMs = Math.max(this.workMs, workMs);
		}
	}

	/**
	 * Records the incarnation named in an answer or report.
	 * @param seen the incarnation, empty if the endpoint gave none
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return {@code true} if the warm-up starts again
	 */
	boolean incarnationSeen(String seen, long nowMs) {
		if (seen.isEmpty() || this.formerIncarnations.contains(seen)) {
			return false;
		}
		boolean changed = !seen.equals(this.incarnation);
		boolean first = this.incarnation.isEmpty();
		// A peer reported this restart already if the old incarnation was not seen since.
		boolean known = this.observed && this.incarnationSeenMs < this.startMs;
		if (changed && !first) {
			this.formerIncarnations.addLast(this.incarnation);
			if (this.formerIncarnations.size() > REMEMBERED_INCARNATIONS) {
				this.formerIncarnations.removeFirst();
			}
		}
		this.incarnation = seen;
		this.incarnationSeenMs = nowMs;
		if (changed && !first && !known) {
			restart(nowMs);
			return true;
		}
		return false;
	}

	/**
	 * Records the duration of an answer.
	 * @param durationMs the duration without the time for computing the prompt
	 * @param serviceMedianMs the median of all endpoints of the service; an endpoint is
	 * not cold if the whole service became slower
	 * @param sentAtMs when the call was sent
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return {@code true} if the warm-up starts again
	 */
	boolean answered(long durationMs, double serviceMedianMs, long sentAtMs, long nowMs) {
		workSeen(nowMs);
		double usualMs = Math.max(this.baseline.median(), serviceMedianMs);
		if (this.baseline.size() < BASELINE_ANSWERS || durationMs <= SLOW_FACTOR * usualMs) {
			this.baseline.add(durationMs);
			this.slowAnswers = 0;
			return false;
		}
		if (sentAtMs >= this.startMs && ++this.slowAnswers >= SLOW_ANSWERS_TO_RESTART) {
			restart(nowMs);
			return true;
		}
		return false;
	}

	private void begin(long nowMs) {
		this.workMs = 0;
		this.advancedToMs = nowMs;
		this.workSeenMs = Long.MIN_VALUE;
		this.slowAnswers = 0;
	}

}
