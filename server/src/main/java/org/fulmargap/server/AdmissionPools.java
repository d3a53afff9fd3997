package org.fulmargap.server;

import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

import org.fulmargap.admission.AdmissionController;
import org.fulmargap.admission.AdmissionListener;
import org.fulmargap.admission.AdmissionRequest;
import org.fulmargap.admission.FairAdmission;
import org.fulmargap.admission.StageBudgets;
import org.fulmargap.config.PipelineSpec;
import org.fulmargap.config.StageSpec;
import org.fulmargap.http.Admission;
import org.fulmargap.request.FulmargapException;
import org.fulmargap.routing.Router;

/**
 * Admits requests with a separate queue for each service that is the bottleneck of a
 * pipeline, so that requests queued for a slow service do not delay those for other
 * services.
 */
final class AdmissionPools implements Admission {

	private static final int QUEUED_PER_SLOT = 4;

	private final Map<String, Pool> pools = new ConcurrentHashMap<>();

	private final Router router;

	private final StageBudgets budgets;

	private final int maxInFlight;

	private final LongSupplier clock;

	AdmissionPools(Router router, StageBudgets budgets, int maxInFlight, LongSupplier clock) {
		this.router = router;
		this.budgets = budgets;
		this.maxInFlight = maxInFlight;
		this.clock = clock;
	}

	@Override
	public void admit(PipelineSpec pipeline, AdmissionRequest request, long nowMs, AdmissionListener listener) {
		Pool pool = this.pools.computeIfAbsent(bottleneck(pipeline, nowMs), (service) -> newPool(pipeline, nowMs));
		boolean deadlineUnreachable = request.expectedMs() > request.deadline().remainingMs(nowMs);
		if (deadlineUnreachable && pool.trialRunning().compareAndSet(false, true)) {
			AdmissionRequest trial = new AdmissionRequest(request.account(), request.weight(), request.priority(),
					request.deadline(), 0);
			pool.controller().admit(trial, nowMs, new TrialListener(listener, pool.trialRunning()));
		}
		else {
			pool.controller().admit(request, nowMs, listener);
		}
	}

	/**
	 * Updates the number of slots to the current concurrency limits and refuses queued
	 * requests that can no longer meet their deadline. Called periodically.
	 */
	void refresh() {
		long nowMs = this.clock.getAsLong();
		this.pools.values().forEach((pool) -> {
			pool.controller().setSlots(slots(pool.pipeline(), nowMs), nowMs);
			pool.controller().expire(nowMs);
		});
	}

	private Pool newPool(PipelineSpec pipeline, long nowMs) {
		int maxQueued = Math.max(1, QUEUED_PER_SLOT * this.maxInFlight);
		return new Pool(pipeline, new FairAdmission(slots(pipeline, nowMs), maxQueued, maxQueued), new AtomicBoolean());
	}

	private int slots(PipelineSpec pipeline, long nowMs) {
		int slots = this.budgets.slots(pipeline, (service) -> this.router.concurrencyShare(service, nowMs));
		return Math.min(slots, this.maxInFlight);
	}

	// Returns the service with the lowest throughput in requests per second.
	private String bottleneck(PipelineSpec pipeline, long nowMs) {
		return pipeline.stages()
			.stream()
			.map(StageSpec::service)
			.min(Comparator.comparingDouble((service) -> (double) this.router.concurrencyShare(service, nowMs)
					/ Math.max(1, this.router.expectedStageMs(service))))
			.orElseThrow();
	}

	/**
	 * Queue of the requests that share a bottleneck service.
	 *
	 * @param pipeline the pipeline of the first request, which determines the number of
	 * slots
	 * @param controller queues and admits the requests
	 * @param trialRunning whether a trial request is queued or running
	 */
	private record Pool(PipelineSpec pipeline, AdmissionController controller, AtomicBoolean trialRunning) {
	}

	/**
	 * Passes on the decision about a trial request and records its end. A trial request
	 * is admitted although it is expected to miss its deadline. Expected durations are
	 * measured on completed calls. If an incident has made them too long, only the result
	 * of another call corrects them, so without trial requests all requests would be
	 * refused permanently.
	 *
	 * @param listener receives the decision
	 * @param running set to {@code false} when the trial request has ended
	 */
	private record TrialListener(AdmissionListener listener, AtomicBoolean running) implements AdmissionListener {

		@Override
		public void admitted(Permit permit) {
			this.listener.admitted((nowMs) -> {
				this.running.set(false);
				permit.release(nowMs);
			});
		}

		@Override
		public void refused(FulmargapException refusal) {
			this.running.set(false);
			this.listener.refused(refusal);
		}

	}

}
