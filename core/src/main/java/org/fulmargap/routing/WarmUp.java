package org.fulmargap.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tracks the warm-up of one endpoint as seen by one entry VM. Not safe for use by several
 * threads.
 */
final class WarmUp {

	/** Messages that arrive late name one of the last few incarnations. */
	private static final int MAX_FORMER_INCARNATIONS = 4;

	private static final int SLOW_ANSWERS_TO_RESTART = 5;

	private static final int SLOW_FACTOR = 3;

	/** The baseline is not reliable with fewer answers. */
	private static final int MIN_BASELINE_ANSWERS = 10;

	private final Deque<String> formerIncarnations = new ArrayDeque<>();

	private final DurationWindow baseline = new DurationWindow(64);

	private String incarnation = "";

	private long lastIncarnationMs = Long.MIN_VALUE;

	private long startMs;

	private boolean observed;

	private long workMs;

	private long advancedToMs;

	private long lastWorkMs = Long.MIN_VALUE;

	private int slowAnswers;

	/**
	 * Creates the state of an endpoint.
	 * @param observed whether the endpoint is known to start now; otherwise the start is
	 * an assumption that is not sent to peers
	 * @param nowMs the current time in milliseconds since the epoch
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
	 * Advances the warm-up to the current time. Time counts only while the endpoint
	 * processes requests. An entry VM without a share counts all time, because it does
	 * not see the answers to the requests of other entry VMs.
	 * @param hasShare whether this entry VM may send requests
	 * @param doublingMs the time in milliseconds in which the concurrency limit doubles
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	void advance(boolean hasShare, long doublingMs, long nowMs) {
		boolean working = this.lastWorkMs != Long.MIN_VALUE && nowMs - this.lastWorkMs <= doublingMs;
		if (working || !hasShare) {
			this.workMs += Math.max(0, nowMs - this.advancedToMs);
		}
		this.advancedToMs = Math.max(this.advancedToMs, nowMs);
	}

	void recordWork(long nowMs) {
		this.lastWorkMs = Math.max(this.lastWorkMs, nowMs);
	}

	void restart(long nowMs) {
		this.startMs = Math.max(nowMs, this.startMs);
		this.observed = true;
		reset(nowMs);
	}

	/**
	 * Merges a warm-up start that another entry VM observed.
	 * @param peerStartMs the start in milliseconds since the epoch
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return {@code true} if the warm-up starts again
	 */
	boolean merge(long peerStartMs, long nowMs) {
		// After a start in the future, later starts would be ignored until that time.
		long start = Math.min(peerStartMs, nowMs);
		if (this.observed && start <= this.startMs) {
			return false;
		}
		this.startMs = start;
		this.observed = true;
		reset(nowMs);
		return true;
	}

	/**
	 * Marks the endpoint as warm if no start was observed. Called when it reports its
	 * full capacity.
	 * @param workMs the time of work in milliseconds after which the concurrency limit is
	 * the full one
	 */
	void assumeWarm(long workMs) {
		if (!this.observed) {
			this.workMs = Math.max(this.workMs, workMs);
		}
	}

	/**
	 * Records the incarnation named in an answer or report.
	 * @param reported the incarnation, empty if the endpoint gave none
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return {@code true} if the warm-up starts again
	 */
	boolean recordIncarnation(String reported, long nowMs) {
		if (reported.isEmpty() || this.formerIncarnations.contains(reported)) {
			return false;
		}
		boolean changed = !reported.equals(this.incarnation);
		boolean first = this.incarnation.isEmpty();
		// A peer has already reported this restart if the old incarnation was not
		// observed after the start.
		boolean alreadyReported = this.observed && this.lastIncarnationMs < this.startMs;
		if (changed && !first) {
			this.formerIncarnations.addLast(this.incarnation);
			if (this.formerIncarnations.size() > MAX_FORMER_INCARNATIONS) {
				this.formerIncarnations.removeFirst();
			}
		}
		this.incarnation = reported;
		this.lastIncarnationMs = nowMs;
		if (changed && !first && !alreadyReported) {
			restart(nowMs);
			return true;
		}
		return false;
	}

	/**
	 * Records an answer and restarts the warm-up after five slow answers in a row.
	 * @param durationMs the duration in milliseconds without the time for computing the
	 * prompt
	 * @param serviceMedianMs the median of all endpoints of the service in milliseconds;
	 * an endpoint does not count as slow if the whole service is slower
	 * @param sentAtMs when the call was sent, milliseconds since the epoch
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return {@code true} if the warm-up starts again
	 */
	boolean recordAnswer(long durationMs, double serviceMedianMs, long sentAtMs, long nowMs) {
		recordWork(nowMs);
		double referenceMs = Math.max(this.baseline.median(), serviceMedianMs);
		if (this.baseline.size() < MIN_BASELINE_ANSWERS || durationMs <= SLOW_FACTOR * referenceMs) {
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

	private void reset(long nowMs) {
		this.workMs = 0;
		this.advancedToMs = nowMs;
		this.lastWorkMs = Long.MIN_VALUE;
		this.slowAnswers = 0;
	}

}
