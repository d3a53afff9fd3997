package org.fulmargap.entry.request;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import org.fulmargap.batch.PipelineAdmission;
import org.fulmargap.batch.WastedWork;
import org.fulmargap.catalog.ClientAccount;
import org.fulmargap.catalog.Route;
import org.fulmargap.catalog.ServiceSpec;
import org.fulmargap.entry.ConfigInForce;
import org.fulmargap.entry.EventLog;
import org.fulmargap.entry.StreamPlacement;
import org.fulmargap.entry.caller.CallerExchange;
import org.fulmargap.entry.caller.CallerListener;
import org.fulmargap.entry.endpoint.AnswerFault;
import org.fulmargap.entry.endpoint.CallFailure;
import org.fulmargap.entry.endpoint.EndpointCall;
import org.fulmargap.entry.endpoint.EndpointPool;
import org.fulmargap.entry.peer.PeerMessage;
import org.fulmargap.placement.Choice;
import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.EndpointDirectory;
import org.fulmargap.placement.EndpointLimits;
import org.fulmargap.placement.EndpointRecord;
import org.fulmargap.placement.Placement;
import org.fulmargap.placement.Prompt;
import org.fulmargap.placement.RetryRule;
import org.fulmargap.platform.CallerRequest;
import org.fulmargap.platform.EndpointAnswer;
import org.fulmargap.platform.EndpointHeaders;
import org.fulmargap.platform.EndpointRequest;
import org.fulmargap.rollout.VersionSplit;
import org.fulmargap.routing.CrashQuarantine;
import org.fulmargap.stream.StreamOrigin;

/**
 * Handles one request from admission to the response: runs its stages, calls an endpoint,
 * forwards the response to the caller and retries failed calls. Confined to the event
 * loop.
 */
final class RequestFlow implements CallerListener, StageRun.Listener {

	/** The number of the lowest priority that an engine accepts; 0 is the highest. */
	private static final int LOWEST_PRIORITY = 9;

	/**
	 * The most that a stream may contain from one event to the end of the next, comments
	 * included, in bytes.
	 */
	private static final int MAX_EVENT_BYTES = 1 << 20;

	/** An event, with the comments before it, arrives in at most this number of parts. */
	private static final int MAX_EVENT_PARTS = 10_000;

	/**
	 * How long a request waits before it is dispatched again when no endpoint could be
	 * chosen, and how long an endpoint that refused a call gets no further calls, in
	 * milliseconds.
	 */
	private static final long NO_ENDPOINT_PAUSE_MS = 40;

	private final RequestServices services;

	private final CallerExchange exchange;

	private final CallerRequest request;

	private final CallerMessage message;

	private final ConfigInForce config;

	private final Route route;

	private final ServiceSpec service;

	private final ClientAccount account;

	private final String fingerprint;

	private final Set<String> sharedParts;

	private final long arrivedAtMs;

	private final Deadline deadline;

	// How long the request had waited when it was handled.
	private final long waitedMs;

	// The estimated time since the caller's first attempt.
	private final long elapsedMs;

	private final StageRun stageRun;

	private final RequestCandidates candidates;

	// Endpoints that were replaced may be listed with the same address.
	private final Set<String> calledAddresses = new HashSet<>();

	private Future<?> deadlineTimer;

	private Future<?> lastCallTimer;

	private Call call;

	// All calls to endpoints, refused ones included.
	private int calls;

	// The calls that may have run.
	private int runs;

	private final CallerStream stream;

	private boolean finished;

	RequestFlow(RequestServices services, CallerExchange exchange, FullHttpRequest http, CallerRequest request,
			ConfigInForce config, Route route, ClientAccount account, String fingerprint) {
		this.services = services;
		this.exchange = exchange;
		this.stream = new CallerStream(exchange);
		this.request = request;
		this.message = new CallerMessage(http);
		this.config = config;
		this.route = route;
		String serviceName = route.service(request.attemptId().hashCode());
		this.service = config.catalog()
			.services()
			.getOrDefault(serviceName, new ServiceSpec(serviceName, 0, 0, null, null));
		this.account = account;
		this.candidates = new RequestCandidates(services, this.service.name(), request.attemptId(), priority());
		this.fingerprint = fingerprint;
		this.sharedParts = request.prompt().sharedParts();
		this.arrivedAtMs = services.nowMs();
		this.waitedMs = exchange.waitedMs();
		this.deadline = Deadline.of(request.timeLeftMs(), route.timeoutMs(), this.waitedMs, this.arrivedAtMs);
		this.elapsedMs = services.callerTimes().elapsedMs(route.name(), request.timeLeftMs());
		Optional<Choice> engine = expectedEngine();
		this.stageRun = new StageRun(services.clockMs(), services.stages(), services.admittedWork(), route, request,
				engine.map((choice) -> choice.endpoint().record().failureDomain()).orElse(""), promptMs(engine),
				priority(), this.arrivedAtMs - this.elapsedMs + route.objectiveMs(),
				Math.min(this.deadline.atMs(), this.arrivedAtMs + route.maxWaitMs()), this);
	}

	// The engine that would be chosen for the request if its stages were done now.
	private Optional<Choice> expectedEngine() {
		if (this.service.engine() == null || this.route.stages().isEmpty()) {
			return Optional.empty();
		}
		long nowMs = this.arrivedAtMs;
		Placement.Demand demand = new Placement.Demand(this.request.prompt(), List.of());
		return choose(this.candidates.available(nowMs), Set.of(), demand, nowMs);
	}

	private Optional<Choice> choose(List<Endpoint> endpoints, Set<String> excluded, Placement.Demand demand,
			long nowMs) {
		return this.services.placement()
			.choose(this.candidates.preferred(endpoints, demand), endpoints, excluded, this.service, demand,
					this.services.peers().vmCount(), nowMs);
	}

	private long promptMs(Optional<Choice> engine) {
		int cachedTokens = engine.map(Choice::cachedTokens).orElse(0);
		int unreadTokens = Math.max(0, this.request.prompt().promptTokens() - cachedTokens);
		return Math.round(unreadTokens / Placement.PREFILL_TOKENS_PER_MS);
	}

	private int priority() {
		boolean hasAccountPriority = this.account != null && this.account.priority() >= 0;
		return (hasAccountPriority) ? this.account.priority() : this.route.priority();
	}

	void start() {
		this.deadlineTimer = this.services.loop()
			.schedule(this::deadlinePassed, this.deadline.leftMs(this.arrivedAtMs), TimeUnit.MILLISECONDS);
		this.services.openRequests().add(this);
		this.services.retryBudget().firstRequest(this.service.name(), this.arrivedAtMs);
		if (this.deadline.isPassed(this.arrivedAtMs)) {
			deadlinePassed();
			return;
		}
		if (this.services.pool().isCutOff()) {
			refuse(Refusal.CUT_OFF);
			return;
		}
		if (isSetAside(this.arrivedAtMs) || this.candidates.limitWaitMs(this.arrivedAtMs) > 0) {
			refuseWithoutEndpoint();
			return;
		}
		if (isContinuation()) {
			this.services.streamVersions()
				.resolve(this.request.resumedAttemptId(), this.service.name(), this::originResolved);
			return;
		}
		admit();
	}

	private boolean isContinuation() {
		return this.route.kind().isStreaming() && this.request.isContinuation();
	}

	private void originResolved(StreamPlacement placement) {
		if (this.finished) {
			return;
		}
		switch (placement.kind()) {
			case ONE_VERSION -> this.candidates.restrictTo(placement.softwareVersion());
			case UNKNOWN -> refuse(Refusal.UNKNOWN_VERSION);
			case ANYWHERE -> {
			}
		}
		if (this.candidates.lackVersion(this.services.nowMs())) {
			refuse(Refusal.NO_SUCH_VERSION);
		}
		else if (!this.finished) {
			admit();
		}
	}

	private void admit() {
		PipelineAdmission.ExpectedTimes expected = this.stageRun.estimate(this.services::availableEndpoints,
				this.config.catalog(), this.arrivedAtMs);
		if (!isTimeFor(expected.stagesMs(), 1, this.arrivedAtMs)) {
			refuse(Refusal.STOPPING);
		}
		else if (isAdmitted(expected)) {
			this.stageRun.start();
		}
	}

	// Whether all endpoints of a service that the request needs are leaving or rest, so
	// that waiting for one of them could take until the deadline.
	private boolean isSetAside(long nowMs) {
		EndpointDirectory directory = this.services.view().directory();
		return directory.isSetAside(this.service.name(), nowMs)
				|| this.stageRun.services().anyMatch((stage) -> directory.isSetAside(stage, nowMs));
	}

	// Whether the stages and then a number of runs, one after the other, can be done
	// before this VM stops.
	private boolean isTimeFor(double stagesMs, int runs, long nowMs) {
		double runMs = this.services.runTimes().longMs(this.route.name());
		return this.services.openRequests().isTimeFor(stagesMs + runs * runMs, nowMs);
	}

	/**
	 * Prepares for the end of this VM. The request is refused if no endpoint was called
	 * when the time that is left is too short for a run.
	 * @param stopsAtMs when the VM stops, in milliseconds
	 */
	void stopAt(long stopsAtMs) {
		long lastCallAtMs = stopsAtMs - Math.round(this.services.runTimes().longMs(this.route.name()));
		this.stageRun.limit(lastCallAtMs);
		this.lastCallTimer = this.services.loop()
			.schedule(this::lastCallPassed, lastCallAtMs - this.services.nowMs(), TimeUnit.MILLISECONDS);
	}

	private void lastCallPassed() {
		if (this.call == null) {
			stop();
		}
	}

	/**
	 * Answers the request at once, because this VM stops.
	 */
	void stop() {
		refuse((mayHaveRun()) ? Refusal.OUTCOME_UNKNOWN : Refusal.STOPPING);
	}

	private boolean mayHaveRun() {
		return this.runs > 0 || (this.call != null && this.call.requestMade);
	}

	private boolean isAdmitted(PipelineAdmission.ExpectedTimes expected) {
		long maxWaitMs = Math.min(this.deadline.leftMs(this.arrivedAtMs), this.route.maxWaitMs());
		PipelineAdmission.Decision decision = PipelineAdmission.decide(expected, this.route.objectiveMs(), maxWaitMs);
		if (!decision.admitted()) {
			EventLog.request("not_admitted", this.request.attemptId())
				.with("stages_ms", Math.round(expected.stagesMs()))
				.with("prompt_ms", Math.round(expected.promptMs()))
				.with("objective_ms", this.route.objectiveMs())
				.with("elapsed_ms", this.elapsedMs)
				.with("patience_ms", maxWaitMs)
				.with("rank", priority())
				.write();
			refuse(Refusal.OVERLOADED, decision.retryAfterMs());
		}
		return decision.admitted();
	}

	@Override
	public void stagesDone() {
		this.services.metrics().time("stages", this.services.nowMs() - this.arrivedAtMs);
		dispatch();
	}

	@Override
	public void stageFailed(String stageService) {
		EventLog.request("stage_failed", this.request.attemptId()).with("service", stageService).write();
		long nowMs = this.services.nowMs();
		EndpointDirectory directory = this.services.view().directory();
		long restMs = directory.restMs(stageService, nowMs);
		// Only the coordinator of the service knows when the next call can be made.
		long intervalMs = EndpointLimits.intervalMs(directory.available(stageService, nowMs));
		if (this.runs > 0) {
			refuse(Refusal.OUTCOME_UNKNOWN);
		}
		else if (this.services.openRequests().isStopping()) {
			refuse(Refusal.STOPPING);
		}
		else if (restMs > 0) {
			refuse(Refusal.ENDPOINTS_RESTING, restMs);
		}
		else if (intervalMs > 0) {
			refuse(Refusal.ENDPOINTS_LIMITED, intervalMs);
		}
		else {
			refuse(Refusal.STAGE_FAILED);
		}
	}

	/**
	 * Handles that an endpoint may have started again.
	 */
	void endpointChanged() {
		if (this.call == null) {
			this.stageRun.remakesLost();
		}
	}

	private void dispatch() {
		// Stages whose results are made again dispatch the request when they are done.
		if (this.finished || !this.exchange.isConnected() || !this.stageRun.isFinished()
				|| this.stageRun.remakesLost()) {
			return;
		}
		long nowMs = this.services.nowMs();
		if (this.deadline.isPassed(nowMs)) {
			deadlinePassed();
			return;
		}
		if (this.services.promptParts().mustRefuse(this.sharedParts, nowMs)) {
			refuse((this.runs > 0) ? Refusal.OUTCOME_UNKNOWN : Refusal.QUARANTINED);
			return;
		}
		Placement.Demand demand = new Placement.Demand(this.request.prompt(), this.stageRun.finalInputs());
		List<Endpoint> sendable = this.candidates.sendable(nowMs);
		this.services.spills().record(this.service.name(), sendable, demand);
		Optional<Choice> choice = choose(sendable, this.candidates.tried(), demand, nowMs);
		if (choice.isEmpty()) {
			if (this.candidates.reassignToOld(nowMs)) {
				dispatch();
				return;
			}
			waitForEndpoint(nowMs);
			return;
		}
		if (!isTimeFor(0, 1 + runsAhead(choice.get().endpoint(), nowMs), nowMs)) {
			stop();
			return;
		}
		this.call = new Call(choice.get(), nowMs);
		this.call.send(nowMs);
	}

	// The runs that a new one has to wait for, one after the other, at an endpoint.
	private static int runsAhead(Endpoint endpoint, long nowMs) {
		return endpoint.inFlight(nowMs) / Math.max(1, endpoint.record().slots());
	}

	// An available endpoint that was not chosen, for example because the rate of requests
	// to cold endpoints is limited, may accept the request a little later.
	private void waitForEndpoint(long nowMs) {
		List<Endpoint> untried = this.candidates.untried(nowMs);
		long waitedMs = nowMs - this.arrivedAtMs;
		if (this.candidates.lackVersion(nowMs)) {
			refuse((this.runs > 0) ? Refusal.OUTCOME_UNKNOWN : Refusal.NO_SUCH_VERSION);
			return;
		}
		boolean worthWaiting = !untried.isEmpty()
				&& (hasProgress() || (this.services.limits().waitMs(untried, priority(), nowMs) == 0
						&& this.candidates.brittleWaitMs(nowMs) == 0));
		if (worthWaiting && waitedMs + NO_ENDPOINT_PAUSE_MS < this.route.objectiveMs() / 2) {
			this.services.loop().schedule(this::dispatch, NO_ENDPOINT_PAUSE_MS, TimeUnit.MILLISECONDS);
			return;
		}
		refuseWithoutEndpoint();
	}

	// Whether another endpoint could take over a call that is given up now.
	private boolean canBeRepeatedBeside(Endpoint called, long nowMs) {
		int vmCount = this.services.peers().vmCount();
		if (!this.services.retryBudget().hasRetry(this.service.name(), vmCount, nowMs)) {
			return false;
		}
		return this.candidates.hasOther(called, nowMs);
	}

	// Whether stages or runs were made, which a refusal would make useless.
	private boolean hasProgress() {
		return !this.route.stages().isEmpty() || this.runs > 0;
	}

	private void deadlinePassed() {
		refuse((mayHaveRun()) ? Refusal.TIMED_OUT : Refusal.TOO_LATE);
	}

	private void refuseWithoutEndpoint() {
		if (this.runs > 0) {
			refuse(Refusal.OUTCOME_UNKNOWN);
			return;
		}
		long restMs = restMs(this.services.nowMs());
		if (restMs > 0) {
			refuse(Refusal.ENDPOINTS_RESTING, restMs);
		}
		else {
			refuseByLimits(this.services.nowMs());
		}
	}

	private void refuseByLimits(long nowMs) {
		long waitMs = this.candidates.limitWaitMs(nowMs);
		if (waitMs > 0) {
			this.services.limits().refused(this.service.name(), priority(), waitMs, nowMs);
			refuse(Refusal.ENDPOINTS_LIMITED, waitMs);
			return;
		}
		long brittleMs = this.candidates.brittleWaitMs(nowMs);
		if (brittleMs > 0) {
			refuse(Refusal.ENDPOINTS_BRITTLE, brittleMs);
		}
		else {
			refuse(Refusal.NO_ENDPOINT);
		}
	}

	// The time until no service that the request needs rests any more.
	private long restMs(long nowMs) {
		EndpointDirectory directory = this.services.view().directory();
		return Stream.concat(Stream.of(this.service.name()), this.stageRun.services())
			.mapToLong((name) -> directory.restMs(name, nowMs))
			.max()
			.orElse(0);
	}

	private void refuse(Refusal refusal) {
		refuse(refusal, refusal.retryAfterMs());
	}

	private void refuse(Refusal refusal, long retryAfterMs) {
		if (this.finished) {
			return;
		}
		long nowMs = this.services.nowMs();
		long leftMs = Math.max(0, this.deadline.leftMs(nowMs));
		EventLog.request("refused", this.request.attemptId())
			.with("reason", refusal)
			.with("route", this.route.name())
			.with("age_ms", nowMs - this.arrivedAtMs)
			.with("waited_ms", this.waitedMs)
			.with("left_ms", leftMs)
			.with("calls", this.calls)
			.with("runs", this.runs)
			.with("config_version", this.config.version())
			.with("config_age_ms", this.config.ageMs(nowMs))
			.write();
		this.services.metrics().count("refused_" + refusal.name().toLowerCase(Locale.ROOT));
		countUnused();
		if (this.stream.hasBegun()) {
			finish();
			this.exchange.abort();
			return;
		}
		finish();
		RefusalAnswer.send(this.exchange, refusal, retryAfterMs, leftMs);
	}

	@Override
	public void writabilityChanged(boolean writable) {
		if (this.call != null) {
			this.call.callerWritable(writable);
		}
	}

	@Override
	public void callerLeft() {
		if (!this.finished) {
			EventLog.request("caller_left", this.request.attemptId())
				.with("age_ms", this.services.nowMs() - this.arrivedAtMs)
				.write();
			this.services.metrics().count("caller_left");
			countUnused();
			finish();
		}
	}

	private void countUnused() {
		this.services.metrics().add(WastedWork.UNUSED.counter(), this.stageRun.keptResults());
	}

	private void finish() {
		this.finished = true;
		this.services.openRequests().remove(this);
		this.deadlineTimer.cancel(false);
		if (this.lastCallTimer != null) {
			this.lastCallTimer.cancel(false);
		}
		this.stageRun.close();
		if (this.call != null) {
			this.call.cancel();
		}
		this.message.close();
	}

	private void done(Call answered, int status) {
		long ageMs = this.services.nowMs() - this.arrivedAtMs;
		this.services.metrics().time("request", ageMs);
		this.services.metrics().count("answered_" + status / 100 + "xx");
		EventLog.request("answered", this.request.attemptId())
			.with("status", status)
			.with("route", this.route.name())
			.with("endpoint", answered.endpoint)
			.with("local_port", answered.running.localPort())
			.with("relay", answered.running.relay())
			.with("framing", answered.body.framing())
			.with("bytes", answered.body.receivedBytes())
			.with("age_ms", ageMs)
			.with("runs", this.runs)
			.write();
		finish();
	}

	private void streamBegun(EndpointRecord endpoint) {
		this.candidates.restrictTo(endpoint.softwareVersion());
		if (!isContinuation() && !this.request.attemptId().isEmpty()) {
			this.services.streamVersions()
				.begun(new StreamOrigin(this.request.attemptId(), this.service.name(), endpoint.softwareVersion()));
		}
	}

	private void callFailed(Call failed, CallFailure failure) {
		if (failure.mayHaveRun()) {
			this.runs++;
		}
		String id = failed.endpoint.record().id();
		this.candidates.addTried(id);
		long nowMs = this.services.nowMs();
		boolean allowed = (!this.stream.hasBegun() || this.route.resumable())
				&& RetryRule.mayRetry(this.route.isRetryable(), failure.mayHaveRun(), this.runs,
						this.route.maxAttempts(), this.calls)
				&& this.services.quarantine().verdict(this.fingerprint, nowMs) != CrashQuarantine.Verdict.QUARANTINED
				&& (!failure.mayHaveRun() || this.services.promptParts().mayRepeat(this.sharedParts, nowMs))
				&& (!failure.mayHaveArrived() || this.services.retryBudget()
					.tryRetry(this.service.name(), this.services.peers().vmCount(), nowMs));
		EventLog.request("call_failed", this.request.attemptId())
			.with("endpoint", id)
			.with("local_port", failed.running.localPort())
			.with("relay", failed.running.relay())
			.with("failure", failure)
			.with("maybe_ran", failure.mayHaveRun())
			.with("after_ms", nowMs - failed.sentAtMs)
			.with("repeat", allowed)
			.write();
		if (!allowed) {
			refuseWithoutEndpoint();
			return;
		}
		this.stream.discardPartialEvent();
		dispatch();
	}

	/**
	 * A call of this request to one endpoint.
	 */
	private final class Call implements EndpointCall {

		private final Endpoint endpoint;

		private final Choice choice;

		// The record may change during the call.
		private final EndpointRecord calledRecord;

		private final long sentAtMs;

		// How a rollout divides the requests, and counts the answers; null without one.
		private final VersionSplit split;

		// A new process of the endpoint may have another version when the call ends.
		private final boolean sentToUpdated;

		private final PromptEvidence promptEvidence;

		private final ResponseTimer timer;

		private int unreadTokens;

		// The time to the first event at an engine of usual speed.
		private double expectedFirstEventMs;

		private EndpointPool.RunningCall running;

		private EndpointAnswer answer;

		private AnswerBody body;

		private boolean requestMade;

		private boolean callerWritable = true;

		private boolean memoryAvailable = true;

		private boolean closed;

		private boolean firstEventReceived;

		// Whether the answer was not read for a while.
		private boolean paused;

		private Call(Choice choice, long nowMs) {
			this.choice = choice;
			this.endpoint = choice.endpoint();
			this.calledRecord = this.endpoint.record();
			this.sentAtMs = nowMs;
			this.split = RequestFlow.this.candidates.split().orElse(null);
			this.sentToUpdated = this.split != null && this.split.isUpdated(this.endpoint);
			RequestFlow flow = RequestFlow.this;
			this.promptEvidence = new PromptEvidence(flow.services.promptParts(), flow.sharedParts);
			this.timer = new ResponseTimer(flow.services, flow.route, flow.runs, flow.service.name(),
					this.endpoint.record().address(), this::responseTimedOut);
		}

		private void send(long nowMs) {
			RequestFlow flow = RequestFlow.this;
			Prompt prompt = flow.request.prompt();
			long cacheTokens = (flow.service.engine() != null) ? flow.service.engine().cacheTokens() : 0;
			this.expectedFirstEventMs = Placement.firstEventMs(this.endpoint, prompt, nowMs);
			this.unreadTokens = this.endpoint.started(prompt, cacheTokens, nowMs);
			flow.services.limits().sent(this.endpoint, flow.priority());
			flow.calls++;
			if (this.split != null) {
				this.split.sent(this.sentToUpdated);
				this.split.running(this, flow.route.name(), this.endpoint, 1, nowMs);
			}
			EventLog.request("dispatched", flow.request.attemptId())
				.with("route", flow.route.name())
				.with("service", flow.service.name())
				.with("endpoint", this.endpoint)
				.with("software_version", this.calledRecord.softwareVersion())
				.with("cost_ms", Math.round(this.choice.costMs()))
				.with("candidates", this.choice.candidates())
				.with("in_flight", this.endpoint.inFlight(nowMs))
				.with("unread_tokens", this.unreadTokens)
				.with("age_ms", nowMs - flow.arrivedAtMs)
				.with("config_version", flow.config.version())
				.with("config_age_ms", flow.config.ageMs(nowMs))
				.write();
			if (!prompt.parts().isEmpty()) {
				flow.services.peers().announce(new PeerMessage.PromptSent(this.endpoint.record().id(), prompt));
			}
			String address = this.endpoint.record().address();
			EndpointPool pool = flow.services.pool();
			// A late answer to an earlier call of the connection would fit a request
			// without an id.
			boolean onAnyConnection = flow.calledAddresses.add(address) && !attemptId().isEmpty();
			this.running = (onAnyConnection) ? pool.send(address, this::httpRequest, this)
					: pool.sendOnNewConnection(address, this::httpRequest, this);
			this.timer.start();
			if (!flow.exchange.isWritable()) {
				callerWritable(false);
			}
		}

		private void callerWritable(boolean writable) {
			this.callerWritable = writable;
			updateReading();
		}

		private void memoryAvailable(boolean available) {
			this.memoryAvailable = available;
			updateReading();
		}

		// While the caller takes no more bytes, or the memory for answers is used up, the
		// answer is not read. Its endpoint can't be blamed for the silence.
		private void updateReading() {
			if (this.closed) {
				return;
			}
			boolean reading = this.callerWritable && this.memoryAvailable;
			this.running.reading(reading);
			if (reading) {
				this.timer.start();
				return;
			}
			this.timer.stop();
			recordPause();
		}

		private void recordPause() {
			RequestFlow flow = RequestFlow.this;
			flow.services.metrics().count("answer_paused");
			if (!this.paused) {
				this.paused = true;
				EventLog.request("answer_paused", flow.request.attemptId())
					.with("endpoint", this.endpoint)
					.with("reason", (this.callerWritable) ? "memory" : "caller")
					.with("after_ms", flow.services.nowMs() - this.sentAtMs)
					.write();
			}
		}

		private void responseTimedOut(boolean reachable) {
			if (this.closed) {
				return;
			}
			RequestFlow flow = RequestFlow.this;
			if (reachable && !flow.canBeRepeatedBeside(this.endpoint, flow.services.nowMs())) {
				this.timer.restart();
				return;
			}
			this.running.cancel();
			failed(CallFailure.TIMED_OUT);
		}

		// Called at the moment of sending.
		private FullHttpRequest httpRequest() {
			RequestFlow flow = RequestFlow.this;
			this.requestMade = true;
			long leftMs = flow.deadline.leftMs(flow.services.nowMs());
			String accountName = (flow.account != null) ? flow.account.name() : null;
			int priority = (flow.service.engine() != null) ? Math.min(LOWEST_PRIORITY, flow.priority()) : -1;
			EndpointRequest sent = new EndpointRequest(this.endpoint.record().id(), leftMs, accountName, priority,
					flow.stageRun.finalHandles(), flow.stream.lastEventId());
			return flow.message.toEndpoint(EndpointHeaders.encode(sent));
		}

		@Override
		public String attemptId() {
			return RequestFlow.this.request.attemptId();
		}

		@Override
		public boolean maySend() {
			RequestFlow flow = RequestFlow.this;
			long nowMs = flow.services.nowMs();
			return flow.exchange.isConnected() && !flow.deadline.isPassed(nowMs) && !this.endpoint.isSetAside(nowMs);
		}

		@Override
		public void headRead(EndpointAnswer newAnswer) {
			RequestFlow.this.services.setAside().headRead(this.calledRecord, newAnswer);
		}

		@Override
		public void answered(EndpointAnswer newAnswer, HttpResponse newHead) {
			this.answer = newAnswer;
			RequestFlow.this.services.setAside().accepted(this.calledRecord, newAnswer, this.sentAtMs);
			if (newAnswer.coldForMs() > 0) {
				this.endpoint.markCold(newAnswer.coldForMs(), RequestFlow.this.services.nowMs());
			}
			this.body = new AnswerBody(newHead, isStream(newHead), RequestFlow.this.services.pool().answerMemory(),
					this::memoryAvailable);
		}

		private boolean isStream(HttpResponse newHead) {
			return RequestFlow.this.route.kind().isStreaming() && !RequestFlow.this.message.isHead()
					&& this.answer.isSuccess() && this.answer.signed() && hasEvents(newHead);
		}

		private static boolean hasEvents(HttpResponse newHead) {
			CharSequence type = HttpUtil.getMimeType(newHead);
			return type != null && HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(type);
		}

		@Override
		public boolean received(ByteBuf content) {
			this.body.countReceived(content);
			if (hasForeignBody()) {
				return false;
			}
			if (!this.body.isStream()) {
				return this.body.keep(content);
			}
			if (RequestFlow.this.stream.forward(content, this.body.head())) {
				recordFirstEvent();
				this.promptEvidence.event(RequestFlow.this.services.nowMs());
				this.timer.restart();
			}
			CallerStream stream = RequestFlow.this.stream;
			return !stream.isMalformed() && stream.bytesSinceEvent() <= MAX_EVENT_BYTES
					&& stream.partsSinceEvent() <= MAX_EVENT_PARTS && this.body.hold(stream.heldBytes());
		}

		private boolean hasForeignBody() {
			return this.answer.isSuccess() && this.answer.encoded();
		}

		private void recordFirstEvent() {
			if (!this.firstEventReceived) {
				this.firstEventReceived = true;
				RequestFlow flow = RequestFlow.this;
				long nowMs = flow.services.nowMs();
				this.endpoint.firstEvent(this.unreadTokens);
				if (flow.service.engine() != null) {
					this.endpoint.firstEventTook(this.calledRecord, nowMs - this.sentAtMs, this.expectedFirstEventMs,
							this.unreadTokens, nowMs);
				}
				flow.services.metrics().time("first_event", nowMs - flow.arrivedAtMs);
				flow.stageRun.close();
				flow.streamBegun(this.calledRecord);
				EventLog.request("first_event", flow.request.attemptId())
					.with("endpoint", this.endpoint)
					.with("after_ms", nowMs - this.sentAtMs)
					.with("age_ms", nowMs - flow.arrivedAtMs)
					.write();
			}
		}

		@Override
		public boolean ended() {
			close();
			handleEnd();
			return !attemptId().isEmpty() && attemptId().equals(this.answer.attemptId());
		}

		private void handleEnd() {
			RequestFlow flow = RequestFlow.this;
			long nowMs = flow.services.nowMs();
			if (this.answer.notExecuted()) {
				notExecuted(nowMs);
				return;
			}
			if (!this.body.isStream()) {
				endedWhole(nowMs);
			}
			else if (flow.stream.mayEnd()) {
				flow.runs++;
				succeeded(nowMs);
				flow.stream.end();
				flow.done(this, this.answer.status());
			}
			else {
				failed(CallFailure.STREAM_CUT);
			}
		}

		private void endedWhole(long nowMs) {
			RequestFlow flow = RequestFlow.this;
			AnswerFault fault = fault();
			if (fault != null) {
				logFault(fault);
				this.endpoint.failed(false, nowMs);
				recordAnswer(true, nowMs);
				flow.callFailed(this, CallFailure.WRONG_ANSWER);
				return;
			}
			flow.runs++;
			if (this.answer.isEndpointFailure()) {
				recordError(nowMs);
				handleFailure(nowMs);
			}
			else {
				succeeded(nowMs);
				forward();
			}
		}

		private void handleFailure(long nowMs) {
			RequestFlow flow = RequestFlow.this;
			FailureHandling handling = FailureHandling.of(this.answer, flow.route.isRetryable(), mayRetry(nowMs));
			EventLog.request("error_answer", flow.request.attemptId())
				.with("endpoint", this.endpoint)
				.with("local_port", this.running.localPort())
				.with("status", this.answer.status())
				.with("handling", handling)
				.with("after_ms", nowMs - this.sentAtMs)
				.write();
			switch (handling) {
				case RETRY -> {
					flow.candidates.addTried(this.endpoint.record().id());
					flow.dispatch();
				}
				case FORWARD -> forward();
				case REPLACE -> flow.refuse(Refusal.OUTCOME_UNKNOWN);
			}
		}

		private boolean mayRetry(long nowMs) {
			RequestFlow flow = RequestFlow.this;
			return flow.route.isRetryable()
					&& RetryRule.mayRetry(true, true, flow.runs, flow.route.maxAttempts(), flow.calls)
					&& flow.services.retryBudget()
						.tryRetry(flow.service.name(), flow.services.peers().vmCount(), nowMs);
		}

		private void forward() {
			RequestFlow flow = RequestFlow.this;
			flow.exchange.answer(this.answer.status(), this.body.headersForCaller(flow.message.isHead()),
					this.body.whole());
			flow.done(this, this.answer.status());
		}

		// Why the answer is not forwarded; null if it is.
		private AnswerFault fault() {
			if (this.answer.isSuccess() && !this.answer.signed()) {
				return AnswerFault.NOT_SIGNED;
			}
			if (hasForeignBody()) {
				return AnswerFault.BODY_REFUSED;
			}
			return (RequestFlow.this.stream.hasBegun()) ? AnswerFault.NO_STREAM : null;
		}

		private void recordError(long nowMs) {
			if (!this.answer.asksForRest()) {
				this.endpoint.failed(false, nowMs);
				recordAnswer(true, nowMs);
			}
		}

		private void recordAnswer(boolean failed, long nowMs) {
			if (this.split != null) {
				this.split.answered(RequestFlow.this.route.name(), this.endpoint, failed, nowMs - this.sentAtMs, nowMs);
			}
		}

		private void logFault(AnswerFault fault) {
			EventLog.state("answer_fault")
				.with("request", attemptId())
				.with("address", this.endpoint.record().address())
				.with("local_port", this.running.localPort())
				.with("fault", fault)
				.with("answer_id", this.answer.attemptId())
				.with("status", this.answer.status())
				.write();
		}

		private void succeeded(long nowMs) {
			RequestFlow flow = RequestFlow.this;
			double expectedMs = (flow.service.engine() != null) ? 0
					: flow.services.serviceTimes().expectedMs(flow.service.name());
			if (flow.service.engine() == null) {
				flow.services.serviceTimes().record(flow.service.name(), nowMs - this.sentAtMs);
			}
			flow.services.runTimes().record(flow.route.name(), nowMs - this.sentAtMs);
			this.endpoint.succeeded(nowMs - this.sentAtMs, expectedMs, nowMs);
			recordAnswer(false, nowMs);
			this.promptEvidence.completed(this.body.isStream(), nowMs);
			flow.services.quarantine().completed(flow.fingerprint);
		}

		private void notExecuted(long nowMs) {
			if (this.answer.isMisdirected()) {
				this.endpoint.failed(true, nowMs);
			}
			else {
				this.endpoint.refused(nowMs + NO_ENDPOINT_PAUSE_MS);
				RequestFlow.this.services.brittle().rejected(this.endpoint, nowMs);
			}
			RequestFlow.this.callFailed(this, CallFailure.REFUSED);
		}

		@Override
		public void failed(CallFailure failure) {
			close();
			RequestFlow flow = RequestFlow.this;
			long nowMs = flow.services.nowMs();
			if (failure.isFault()) {
				this.endpoint.failed(failure != CallFailure.WRONG_ANSWER, nowMs);
				recordAnswer(true, nowMs);
			}
			// A crash may also end an answer that has neither a length nor chunks.
			if (failure == CallFailure.CONNECTION_LOST || failure == CallFailure.STREAM_CUT) {
				this.promptEvidence.connectionLost(this.endpoint.record(), nowMs);
				flow.services.connectionLost(this.endpoint.record(), flow.fingerprint);
			}
			else if (failure == CallFailure.NOT_CONNECTED) {
				flow.services.confirmCrash(this.endpoint.record().id(), nowMs);
			}
			flow.callFailed(this, failure);
		}

		private void cancel() {
			if (!this.closed) {
				if (this.split != null) {
					this.split.givenUp(this, RequestFlow.this.services.nowMs());
				}
				close();
				this.running.cancel();
			}
		}

		private void close() {
			if (this.closed) {
				return;
			}
			this.closed = true;
			RequestFlow.this.call = null;
			this.endpoint.ended();
			if (this.split != null) {
				this.split.ended(this, this.sentToUpdated);
			}
			if (!this.firstEventReceived) {
				this.endpoint.firstEvent(this.unreadTokens);
			}
			this.timer.close();
			if (this.body != null) {
				this.body.close();
			}
		}

	}

}
