package org.fulmargap.bench;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fulmargap.admission.AdmissionListener;
import org.fulmargap.admission.AdmissionRequest;
import org.fulmargap.admission.FairAdmission;
import org.fulmargap.admission.RetryBudget;
import org.fulmargap.admission.StageBudgets;
import org.fulmargap.bench.Tally.Outcome;
import org.fulmargap.request.FulmargapException;
import org.fulmargap.request.Priority;
import org.fulmargap.routing.AdaptiveRouter;
import org.fulmargap.routing.CallFailure;
import org.fulmargap.routing.CrashQuarantine;
import org.fulmargap.routing.CrashQuarantine.Verdict;
import org.fulmargap.routing.LoadReport;
import org.fulmargap.routing.Reservation;
import org.fulmargap.routing.RouteRequest;
import org.fulmargap.routing.RouterSettings;

/**
 * The policy: the classes of module core, as the server assembles them.
 */
final class PolicyVm extends EntryVm {

	private static final long CLAIM_MS = 10;

	private static final long CLAIM_AGAIN_MS = 50;

	private final AdaptiveRouter router;

	private final CrashQuarantine quarantine = new CrashQuarantine(10_000);

	private final RetryBudget retryBudget = new RetryBudget();

	private final StageBudgets budgets;

	private final Map<String, FairAdmission> admissions = new HashMap<>();

	private final Map<String, String> incarnations = new HashMap<>();

	PolicyVm(World world, int index, long seed) {
		super(world);
		this.router = new AdaptiveRouter(new RouterSettings(World.vm(index),
				Workload.DOMAINS.get(index % Workload.DOMAINS.size()), 1, 2_000, seed + index));
		this.budgets = new StageBudgets(this.router::expectedStageMs);
		world.configuration()
			.pipelines()
			.keySet()
			.forEach((pipeline) -> this.admissions.put(pipeline, new FairAdmission(1, 200, 1_000)));
		update(Set.of());
	}

	@Override
	void update(Set<String> unavailable) {
		this.router.update(this.world.configuration(), unavailable, this.world.vmNames(), this.clock.nowMs());
		tick();
	}

	// Adapts the slots and refuses requests that cannot be answered in time.
	void tick() {
		long nowMs = this.clock.nowMs();
		this.admissions.forEach((name, admission) -> {
			admission.setSlots(this.budgets.slots(this.world.configuration().pipelines().get(name),
					(service) -> this.router.concurrencyShare(service, nowMs)), nowMs);
			admission.expire(nowMs);
		});
	}

	void heartbeat(PolicyVm peer) {
		peer.router.mergeWarmUpStarts(this.router.warmUpStarts(), this.clock.nowMs());
		peer.quarantine.mergeCrashReports(this.quarantine.crashReports(this.clock.nowMs()), this.clock.nowMs());
	}

	/**
	 * Receives the result of a load poll.
	 * @param endpoint the name of the endpoint
	 * @param report the report, or {@code null} if the endpoint refused the connection
	 */
	void polled(String endpoint, LoadReport report) {
		if (report == null) {
			crashSeen(endpoint);
			return;
		}
		incarnationSeen(endpoint, report.incarnation());
		this.router.observeLoad(endpoint, report, this.clock.nowMs());
	}

	private void incarnationSeen(String endpoint, String incarnation) {
		String former = this.incarnations.put(endpoint, incarnation);
		if (former != null && !former.equals(incarnation)) {
			crashSeen(endpoint);
		}
	}

	private void crashSeen(String endpoint) {
		Map<String, List<String>> strikes = this.quarantine.confirmCrash(endpoint, this.clock.nowMs());
		if (!strikes.isEmpty()) {
			this.clock.after(1, () -> this.world
				.policyVms((peer) -> peer.quarantine.mergeCrashReports(strikes, this.clock.nowMs())));
		}
	}

	@Override
	void begin(Flow flow) {
		if (flow.request.idempotent()) {
			admit(flow);
		}
		else {
			claim(flow);
		}
	}

	private void claim(Flow flow) {
		if (this.world.isLogUp()) {
			this.clock.after(CLAIM_MS, () -> admit(flow));
		}
		else if (flow.deadline.remainingMs(this.clock.nowMs()) <= this.budgets.expectedMs(flow.pipeline, 0)
				+ CLAIM_MS) {
			end(flow, Outcome.NOT_RUN);
		}
		else {
			this.clock.after(CLAIM_AGAIN_MS, () -> claim(flow));
		}
	}

	private void admit(Flow flow) {
		if (!this.quarantine.verdict(flow.request.fingerprint(), this.clock.nowMs()).mayRun()) {
			end(flow, Outcome.FAILED);
			return;
		}
		AdmissionRequest request = new AdmissionRequest(flow.request.account(), flow.request.weight(), Priority.NORMAL,
				flow.deadline, this.budgets.expectedMs(flow.pipeline, 0));
		this.admissions.get(flow.request.pipeline()).admit(request, this.clock.nowMs(), new AdmissionListener() {

			@Override
			public void admitted(Permit permit) {
				flow.permit = permit;
				startStage(flow);
			}

			@Override
			public void refused(FulmargapException refusal) {
				end(flow, Outcome.NOT_RUN);
			}

		});
	}

	@Override
	Optional<Reservation> choose(Flow flow) {
		long nowMs = this.clock.nowMs();
		String fingerprint = flow.request.fingerprint();
		Verdict verdict = this.quarantine.verdict(fingerprint, nowMs);
		if (!verdict.mayRun()) {
			end(flow, Outcome.FAILED);
			return Optional.empty();
		}
		if (flow.attempts == 0) {
			this.retryBudget.recordFirstAttempt(flow.service());
		}
		Set<String> excluded = new HashSet<>(flow.excluded);
		excluded.addAll(this.quarantine.suspectedEndpoints(fingerprint, nowMs));
		boolean prompt = flow.service().equals("generate");
		return this.router.select(
				new RouteRequest(flow.service(), (prompt) ? flow.request.prefix() : "",
						(prompt) ? flow.request.promptTokens() : 0, excluded, verdict == Verdict.ISOLATED, false),
				nowMs);
	}

	@Override
	long limitMs(Flow flow) {
		return this.budgets.limitMs(flow.pipeline, flow.stage, flow.deadline, this.clock.nowMs());
	}

	@Override
	boolean retries(Flow flow, String endpoint, CallFailure failure) {
		if (failure == CallFailure.CONNECTION_LOST) {
			this.quarantine.connectionLost(endpoint, flow.request.fingerprint(), this.clock.nowMs());
			// A new connection shows at once whether the endpoint is gone.
			if (this.world.endpoint(endpoint).report() == null) {
				crashSeen(endpoint);
			}
		}
		else if (failure == CallFailure.CONNECT_FAILED) {
			crashSeen(endpoint);
		}
		return (flow.request.idempotent() || !flow.mayHaveRun)
				&& this.retryBudget.tryRetry(flow.service(), flow.attempts);
	}

	@Override
	void completed(Flow flow) {
		this.quarantine.completed(flow.request.fingerprint());
	}

}
