package org.fulmargap.endpoint;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import okhttp3.Call;
import org.fulmargap.routing.CallFailure;

/**
 * Monitors one call and probes its endpoint when the call makes no progress. A retryable
 * call is cancelled when the probe shows that its connection is dead, or when the
 * endpoint leaves two consecutive probes unanswered.
 */
final class ProgressWatchdog implements AutoCloseable {

	/**
	 * Delay in milliseconds between a probe and the cancellation of the call, so that an
	 * answer that was already in transit can arrive.
	 */
	private static final long GRACE_MS = 50;

	private static final int UNANSWERED_PROBES_TO_CANCEL = 2;

	private final StageCall stageCall;

	private final Call call;

	private final DispatchTracker tracker;

	private final EndpointProbe probe;

	private final ScheduledExecutorService scheduler;

	private final LongSupplier clock;

	private final ProbeListener listener;

	private final Runnable evictIdleConnections;

	private volatile ScheduledFuture<?> nextTask;

	private volatile boolean closed;

	private volatile CallFailure cancelReason;

	private long lastProbeEndedAtMs;

	private int unansweredProbes;

	ProgressWatchdog(StageCall stageCall, Call call, DispatchTracker tracker, EndpointProbe probe,
			ScheduledExecutorService scheduler, LongSupplier clock, ProbeListener listener,
			Runnable evictIdleConnections) {
		this.stageCall = stageCall;
		this.call = call;
		this.tracker = tracker;
		this.probe = probe;
		this.scheduler = scheduler;
		this.clock = clock;
		this.listener = listener;
		this.evictIdleConnections = evictIdleConnections;
	}

	void start() {
		schedule(this::check, this.stageCall.progressLimitMs());
	}

	/**
	 * Returns why this watchdog cancelled the call.
	 * @return the failure, or {@code null} if it did not cancel the call
	 */
	CallFailure cancelReason() {
		return this.cancelReason;
	}

	private void schedule(Runnable task, long delayMs) {
		if (!this.closed && !this.scheduler.isShutdown()) {
			this.nextTask = this.scheduler.schedule(task, Math.max(1, delayMs), TimeUnit.MILLISECONDS);
		}
	}

	private void check() {
		if (this.closed) {
			return;
		}
		long idleSinceMs = Math.max(this.tracker.progressAtMs(), this.lastProbeEndedAtMs);
		long idleMs = this.clock.getAsLong() - idleSinceMs;
		if (idleMs < this.stageCall.progressLimitMs() || !this.tracker.mayHaveSent()) {
			schedule(this::check, this.stageCall.progressLimitMs() - idleMs);
			return;
		}
		long progressAtMs = this.tracker.progressAtMs();
		this.probe.probe(this.stageCall.url()).thenAccept((result) -> evaluate(result, progressAtMs));
	}

	private void evaluate(EndpointProbe.Result result, long progressAtMs) {
		if (this.closed) {
			return;
		}
		boolean attemptAbsent = result.isKnownAbsent(this.stageCall.attempt().toString(), this.tracker.sentAtMs());
		this.listener.probed(this.stageCall, result.answered(), attemptAbsent);
		this.lastProbeEndedAtMs = this.clock.getAsLong();
		if (result.answered()) {
			this.unansweredProbes = 0;
			if (!attemptAbsent || !this.stageCall.retryable()) {
				schedule(this::check, this.stageCall.progressLimitMs());
			}
			else {
				schedule(() -> cancelIfNoProgress(progressAtMs, CallFailure.CONNECTION_SILENT), GRACE_MS);
			}
			return;
		}
		this.unansweredProbes++;
		if (this.unansweredProbes >= UNANSWERED_PROBES_TO_CANCEL && this.stageCall.retryable()) {
			cancelIfNoProgress(progressAtMs, CallFailure.TIMED_OUT);
		}
		else {
			schedule(this::check, this.stageCall.progressLimitMs());
		}
	}

	private void cancelIfNoProgress(long progressAtMs, CallFailure failure) {
		if (this.closed) {
			return;
		}
		if (this.tracker.progressAtMs() != progressAtMs) {
			schedule(this::check, this.stageCall.progressLimitMs());
			return;
		}
		this.cancelReason = failure;
		this.call.cancel();
		this.evictIdleConnections.run();
	}

	@Override
	public void close() {
		this.closed = true;
		ScheduledFuture<?> pending = this.nextTask;
		if (pending != null) {
			pending.cancel(false);
		}
	}

	/**
	 * Receives the results of probes.
	 */
	@FunctionalInterface
	interface ProbeListener {

		void probed(StageCall call, boolean answered, boolean attemptAbsent);

	}

}
