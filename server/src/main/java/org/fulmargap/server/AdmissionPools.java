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
 * Admits requests separately for each service that limits a pipeline, so that requests
 * which wait for a slow service do not hold back those for other services.
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
		boolean hopeless = request.expectedMs() > request.deadline().remainingMs(nowMs);
		if (hopeless && pool.trialRuns().compareAndSet(false, true)) {
			AdmissionRequest trial = new AdmissionRequest(request.account(), request.weight(), request.priority(),
					request.deadline(), 0);
			pool.controller().admit(trial, nowMs, new TrialListener(listener, pool.trialRuns()));
		}
		else {
			pool.controller().admit(request, nowMs, listener);
		}
	}

	/**
	 * Adapts the slots to the present allowances and refuses requests that waited too
	 * long.
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

	// The service whose stages pass the fewest requests per second.
	private String bottleneck(PipelineSpec pipeline, long nowMs) {
		return pipeline.stages()
			.stream()
			.map(StageSpec::service)
			.min(Comparator.comparingDouble((service) -> (double) this.router.concurrencyShare(service, nowMs)
					/ Math.max(1, this.router.expectedStageMs(service))))
			.orElseThrow();
	}

	/**
	 * The requests that wait for one service.
	 *
	 * @param pipeline the pipeline that determines the number of slots
	 * @param controller admits the requests
	 * @param trialRuns whether a trial is running
	 */
	private record Pool(PipelineSpec pipeline, AdmissionController controller, AtomicBoolean trialRuns) {
	}

	/**
	 * Passes on the decision about a trial and notes its end. A trial is a request that
	 * is admitted although it is expected to miss its deadline. The expected times come
	 * from answers, so after an incident that made them too long, only an answer can
	 * correct them; without trials every request would be refused for ever.
	 *
	 * @param listener receives the decision
	 * @param runs set to {@code false} when the trial has ended
	 */
	private record TrialListener(AdmissionListener listener, AtomicBoolean runs) implements AdmissionListener {

		@Override
		public void admitted(Permit permit) {
			this.listener.admitted((nowMs) -> {
				this.runs.set(false);
				permit.release(nowMs);
			});
		}

		@Override
		public void refused(FulmargapException refusal) {
			this.runs.set(false);
			this.listener.refused(refusal);
		}

	}

}
