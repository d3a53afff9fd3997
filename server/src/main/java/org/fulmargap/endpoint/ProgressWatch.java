package org.fulmargap.endpoint;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import okhttp3.Call;
import org.fulmargap.routing.CallFailure;

/**
 * Watches one call and probes its endpoint when no progress is seen. A call that may be
 * repeated is cancelled when its connection is found dead, or when the endpoint left two
 * probes in a row unanswered.
 */
final class ProgressWatch implements AutoCloseable {

	/**
	 * Time that an answer which was already under way during the probe gets to arrive.
	 */
	private static final long GRACE_MS = 50;

	private static final int PROBES_WITHOUT_ANSWER = 2;

	private final StageCall stageCall;

	private final Call call;

	private final DispatchTracker tracker;

	private final EndpointProbe probe;

	private final ScheduledExecutorService scheduler;

	private final LongSupplier clock;

	private final ProbeListener listener;

	private final Runnable dropIdleConnections;

	private volatile ScheduledFuture<?> next;

	private volatile boolean closed;

	private volatile CallFailure verdict;

	private long waitingSinceMs;

	private int unanswered;

	ProgressWatch(StageCall stageCall, Call call, DispatchTracker tracker, EndpointProbe probe,
			ScheduledExecutorService scheduler, LongSupplier clock, ProbeListener listener,
			Runnable dropIdleConnections) {
		this.stageCall = stageCall;
		this.call = call;
		this.tracker = tracker;
		this.probe = probe;
		this.scheduler = scheduler;
		this.clock = clock;
		this.listener = listener;
		this.dropIdleConnections = dropIdleConnections;
	}

	void start() {
		schedule(this::check, this.stageCall.progressLimitMs());
	}

	/**
	 * Returns why the watch cancelled the call.
	 * @return the failure, or {@code null} if the watch did not cancel the call
	 */
	CallFailure verdict() {
		return this.verdict;
	}

	private void schedule(Runnable task, long delayMs) {
		if (!this.closed && !this.scheduler.isShutdown()) {
			this.next = this.scheduler.schedule(task, Math.max(1, delayMs), TimeUnit.MILLISECONDS);
		}
	}

	private void check() {
		if (this.closed) {
			return;
		}
		long quietSinceMs = Math.max(this.tracker.progressAtMs(), this.waitingSinceMs);
		long quietMs = this.clock.getAsLong() - quietSinceMs;
		if (quietMs < this.stageCall.progressLimitMs() || !this.tracker.mayHaveSent()) {
			schedule(this::check, this.stageCall.progressLimitMs() - quietMs);
			return;
		}
		long progressAtMs = this.tracker.progressAtMs();
		this.probe.probe(this.stageCall.url()).thenAccept((finding) -> judge(finding, progressAtMs));
	}

	private void judge(EndpointProbe.Finding finding, long progressAtMs) {
		if (this.closed) {
			return;
		}
		boolean gone = finding.rulesOut(this.stageCall.attempt().toString(), this.tracker.sentAtMs());
		this.listener.probed(this.stageCall, finding.answered(), gone);
		this.waitingSinceMs = this.clock.getAsLong();
		if (finding.answered()) {
			this.unanswered = 0;
			if (!gone || !this.stageCall.repeatable()) {
				schedule(this::check, this.stageCall.progressLimitMs());
			}
			else {
				schedule(() -> cancelIfQuiet(progressAtMs, CallFailure.CONNECTION_SILENT), GRACE_MS);
			}
			return;
		}
		this.unanswered++;
		if (this.unanswered >= PROBES_WITHOUT_ANSWER && this.stageCall.repeatable()) {
			cancelIfQuiet(progressAtMs, CallFailure.TIMED_OUT);
		}
		else {
			schedule(this::check, this.stageCall.progressLimitMs());
		}
	}

	private void cancelIfQuiet(long progressAtMs, CallFailure failure) {
		if (this.closed) {
			return;
		}
		if (this.tracker.progressAtMs() != progressAtMs) {
			schedule(this::check, this.stageCall.progressLimitMs());
			return;
		}
		this.verdict = failure;
		this.call.cancel();
		this.dropIdleConnections.run();
	}

	@Override
	public void close() {
		this.closed = true;
		ScheduledFuture<?> pending = this.next;
		if (pending != null) {
			pending.cancel(false);
		}
	}

	/**
	 * Receives the findings of probes.
	 */
	@FunctionalInterface
	interface ProbeListener {

		void probed(StageCall call, boolean answered, boolean gone);

	}

}
