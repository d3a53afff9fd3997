package org.fulmargap.entry;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.fulmargap.platform.StoreClient;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against reads that wait so long that a VM notices silent connections after the
 * bounds of the platform, and against reads that wait less than the bounds allow.
 */
class LongPollWaitProperties {

	private static final long MAX_WAIT_MS = 3_000;

	private static final long MAX_INTERVAL_MS = 1_000;

	private static final long MIN_BOUND_MS = MAX_INTERVAL_MS + StoreClient.ANSWER_TIMEOUT_MS
			+ LongPollWait.FRESH_READ_MS;

	@Property
	void recordsAreInForceInTimeAfterASilence(@ForAll @LongRange(min = MIN_BOUND_MS, max = 10_000) long contactMs,
			@ForAll @LongRange(min = 0, max = 10_000) long applyMs,
			@ForAll @LongRange(min = 0, max = MAX_INTERVAL_MS) long intervalMs,
			@ForAll @LongRange(min = 0, max = MAX_INTERVAL_MS) long pauseMs,
			@ForAll @LongRange(min = 0, max = 1_000_000) long answeredAtMs) {
		LongPollWait wait = LongPollWait.within(contactMs, applyMs, intervalMs, MAX_WAIT_MS);
		long startedAtMs = answeredAtMs + Math.min(intervalMs, pauseMs);
		long noticedAtMs = startedAtMs + wait.waitMs(answeredAtMs, startedAtMs) + StoreClient.ANSWER_TIMEOUT_MS;
		long inForceAtMs = noticedAtMs + LongPollWait.FRESH_READ_MS;
		// The connections fall silent right after the last answer.
		long oldestRecordAtMs = answeredAtMs - intervalMs;
		assertThat(inForceAtMs).isLessThanOrEqualTo(Math.max(answeredAtMs + contactMs, oldestRecordAtMs + applyMs));
	}

	@Property
	void aReadWaitsAsLongAsTheBoundsAllow(@ForAll @LongRange(min = MIN_BOUND_MS, max = 10_000) long contactMs,
			@ForAll @LongRange(min = 0, max = 2_000) long pauseMs) {
		long waitMs = LongPollWait.within(contactMs, 0, MAX_INTERVAL_MS, MAX_WAIT_MS).waitMs(0, pauseMs);
		long allowedMs = contactMs - pauseMs - StoreClient.ANSWER_TIMEOUT_MS - LongPollWait.FRESH_READ_MS;
		assertThat(waitMs).isEqualTo(Math.max(0, Math.min(MAX_WAIT_MS, allowedMs)));
	}

	@Example
	void aReadAfterALongPauseDoesNotWait() {
		assertThat(LongPollWait.within(3_000, 2_000, 600, MAX_WAIT_MS).waitMs(0, 60_000)).isZero();
	}

	@Example
	void wideBoundsDoNotLengthenTheWait() {
		assertThat(LongPollWait.within(5_000, 2_000, 600, MAX_WAIT_MS).waitMs(0, 0)).isEqualTo(MAX_WAIT_MS);
	}

	@Example
	void aTopicWithoutABoundKeepsItsWait() {
		assertThat(LongPollWait.unbounded(30_000).waitMs(0, 60_000)).isEqualTo(30_000);
	}

}
