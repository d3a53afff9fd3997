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
import org.fulmargap.bench.RunStatistics.Outcome;
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
 * Entry VM that applies the classes of module core, combined as in the server.
 */
final class PolicyVm extends EntryVm {

	private static final long CLAIM_LATENCY_MS = 10;

	private static final long CLAIM_RETRY_MS = 50;

	private final AdaptiveRouter router;

	private final CrashQuarantine quarantine = new CrashQuarantine(10_000);

	private final RetryBudget retryBudget = new RetryBudget();

	private final StageBudgets budgets;

	private final Map<String, FairAdmission> admissions = new HashMap<>();

	private final Map<String, String> incarnations = new HashMap<>();

	PolicyVm(Simulation simulation, int index, long seed) {
		super(simulation);
		this.router = new AdaptiveRouter(new RouterSettings(Simulation.vmName(index),
				Workload.DOMAINS.get(index % Workload.DOMAINS.size()), 1, 2_000, seed + index));
		this.budgets = new StageBudgets(this.router::expectedStageMs);
		simulation.configuration()
			.pipelines()
			.keySet()
			.forEach((pipeline) -> this.admissions.put(pipeline, new FairAdmission(1, 200, 1_000)));
		setUnavailableEndpoints(Set.of());
	}

	@Override
	void setUnavailableEndpoints(Set<String> unavailable) {
		this.router.update(this.simulation.configuration(), unavailable, this.simulation.vmNames(), this.clock.nowMs());
		updateAdmission();
	}

	// Updates the number of slots and refuses waiting requests that are not expected to
	// meet their deadline.
	void updateAdmission() {
		long nowMs = this.clock.nowMs();
		this.admissions.forEach((name, admission) -> {
			admission.setSlots(this.budgets.slots(this.simulation.configuration().pipelines().get(name),
					(service) -> this.router.concurrencyShare(service, nowMs)), nowMs);
			admission.expire(nowMs);
		});
	}

	void sendHeartbeat(PolicyVm peer) {
		peer.router.mergeWarmUpStarts(this.router.warmUpStarts(), this.clock.nowMs());
		peer.quarantine.mergeCrashReports(this.quarantine.crashReports(this.clock.nowMs()), this.clock.nowMs());
	}

	/**
	 * Records the result of a load poll.
	 * @param endpoint the name of the endpoint
	 * @param report the report, or {@code null} if the endpoint refused the connection
	 */
	void receiveLoadReport(String endpoint, LoadReport report) {
		if (report == null) {
			confirmCrash(endpoint);
			return;
		}
		recordIncarnation(endpoint, report.incarnation());
		this.router.observeLoad(endpoint, report, this.clock.nowMs());
	}

	private void recordIncarnation(String endpoint, String incarnation) {
		String previous = this.incarnations.put(endpoint, incarnation);
		if (previous != null && !previous.equals(incarnation)) {
			confirmCrash(endpoint);
		}
	}

	private void confirmCrash(String endpoint) {
		Map<String, List<String>> crashReports = this.quarantine.confirmCrash(endpoint, this.clock.nowMs());
		if (!crashReports.isEmpty()) {
			this.clock.scheduleAfter(1, () -> this.simulation
				.forEachPolicyVm((peer) -> peer.quarantine.mergeCrashReports(crashReports, this.clock.nowMs())));
		}
	}

	@Override
	void begin(RequestState state) {
		if (state.request.idempotent()) {
			admit(state);
		}
		else {
			claim(state);
		}
	}

	private void claim(RequestState state) {
		if (this.simulation.isLogAvailable()) {
			this.clock.scheduleAfter(CLAIM_LATENCY_MS, () -> admit(state));
		}
		else if (state.deadline.remainingMs(this.clock.nowMs()) <= this.budgets.expectedMs(state.pipeline, 0)
				+ CLAIM_LATENCY_MS) {
			end(state, Outcome.NOT_RUN);
		}
		else {
			this.clock.scheduleAfter(CLAIM_RETRY_MS, () -> claim(state));
		}
	}

	private void admit(RequestState state) {
		if (!this.quarantine.verdict(state.request.fingerprint(), this.clock.nowMs()).mayRun()) {
			end(state, Outcome.FAILED);
			return;
		}
		AdmissionRequest request = new AdmissionRequest(state.request.account(), state.request.weight(),
				Priority.NORMAL, state.deadline, this.budgets.expectedMs(state.pipeline, 0));
		this.admissions.get(state.request.pipeline()).admit(request, this.clock.nowMs(), new AdmissionListener() {

			@Override
			public void admitted(Permit permit) {
				state.permit = permit;
				startStage(state);
			}

			@Override
			public void refused(FulmargapException refusal) {
				end(state, Outcome.NOT_RUN);
			}

		});
	}

	@Override
	Optional<Reservation> selectEndpoint(RequestState state) {
		long nowMs = this.clock.nowMs();
		String fingerprint = state.request.fingerprint();
		Verdict verdict = this.quarantine.verdict(fingerprint, nowMs);
		if (!verdict.mayRun()) {
			end(state, Outcome.FAILED);
			return Optional.empty();
		}
		if (state.attempts == 0) {
			this.retryBudget.recordFirstAttempt(state.service());
		}
		Set<String> excludedEndpoints = new HashSet<>(state.excludedEndpoints);
		excludedEndpoints.addAll(this.quarantine.suspectedEndpoints(fingerprint, nowMs));
		boolean hasPrompt = state.service().equals("generate");
		return this.router.select(new RouteRequest(state.service(), (hasPrompt) ? state.request.prefix() : "",
				(hasPrompt) ? state.request.promptTokens() : 0, excludedEndpoints, verdict == Verdict.ISOLATED, false),
				nowMs);
	}

	@Override
	long limitMs(RequestState state) {
		return this.budgets.limitMs(state.pipeline, state.stage, state.deadline, this.clock.nowMs());
	}

	@Override
	boolean shouldRetry(RequestState state, String endpoint, CallFailure failure) {
		if (failure == CallFailure.CONNECTION_LOST) {
			this.quarantine.connectionLost(endpoint, state.request.fingerprint(), this.clock.nowMs());
			// A new connection attempt shows immediately whether the endpoint is down.
			if (this.simulation.endpoint(endpoint).loadReport() == null) {
				confirmCrash(endpoint);
			}
		}
		else if (failure == CallFailure.CONNECT_FAILED) {
			confirmCrash(endpoint);
		}
		return (state.request.idempotent() || !state.mayHaveRun)
				&& this.retryBudget.tryRetry(state.service(), state.attempts);
	}

	@Override
	void completed(RequestState state) {
		this.quarantine.completed(state.request.fingerprint());
	}

}
