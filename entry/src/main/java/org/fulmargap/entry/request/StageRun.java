package org.fulmargap.entry.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

import org.fulmargap.batch.AdmittedWork;
import org.fulmargap.batch.PipelineAdmission;
import org.fulmargap.batch.PipelineEstimate;
import org.fulmargap.batch.WorkItem;
import org.fulmargap.catalog.Catalog;
import org.fulmargap.catalog.Route;
import org.fulmargap.catalog.ServiceSpec;
import org.fulmargap.entry.EventLog;
import org.fulmargap.entry.stage.StageClient;
import org.fulmargap.entry.stage.WorkItemOutcome;
import org.fulmargap.placement.Placement;
import org.fulmargap.platform.CallerRequest;

/**
 * Runs the stages of one request. A stage starts when all its dependencies are done and
 * no other unfinished stage has a longer chain of stages after it.
 */
final class StageRun {

	/**
	 * The expected duration of a stage in milliseconds. Work items are due, and expire,
	 * earlier by this time for each stage that has to run after theirs.
	 */
	private static final long EXPECTED_STAGE_MS = 260;

	/**
	 * The expected time from the end of the stages to the first event of the response,
	 * without the time to read the prompt, in milliseconds.
	 */
	private static final long FIRST_EVENT_MS = 100;

	/**
	 * A work item prefers a failure domain if its result or the inputs of its stage have
	 * at least this size, in bytes.
	 */
	private static final long LARGE_RESULT_BYTES = 500_000;

	private final LongSupplier clockMs;

	private final StageClient client;

	private final AdmittedWork admittedWork;

	private final Route route;

	private final CallerRequest request;

	private final String engineDomain;

	private final long promptMs;

	private final int priority;

	private final long dueAtMs;

	private final long expiresAtMs;

	private final Listener listener;

	private final List<StageProgress> stages = new ArrayList<>();

	// When the stages must be done because this VM stops.
	private long limitAtMs = Long.MAX_VALUE;

	private boolean inputsRecomputed;

	private boolean finished;

	private boolean closed;

	// The results that were kept when a stage failed.
	private int resultsOfFailure;

	/**
	 * Creates a run.
	 * @param clockMs the current time in milliseconds
	 * @param client submits work items
	 * @param admittedWork the work items that admitted requests still need
	 * @param route the route
	 * @param request the request of the caller
	 * @param engineDomain the failure domain of the engine that is expected to run the
	 * request, or an empty text
	 * @param promptMs the time that an engine is expected to need to read the prompt, in
	 * milliseconds
	 * @param priority the priority of the request; 0 is the most urgent
	 * @param dueAtMs when the first event is due, in milliseconds
	 * @param expiresAtMs when the caller stops waiting for the first event, in
	 * milliseconds
	 * @param listener receives the result of the run
	 */
	StageRun(LongSupplier clockMs, StageClient client, AdmittedWork admittedWork, Route route, CallerRequest request,
			String engineDomain, long promptMs, int priority, long dueAtMs, long expiresAtMs, Listener listener) {
		this.clockMs = clockMs;
		this.client = client;
		this.admittedWork = admittedWork;
		this.route = route;
		this.request = request;
		this.engineDomain = engineDomain;
		this.promptMs = promptMs;
		this.priority = priority;
		this.dueAtMs = dueAtMs;
		this.expiresAtMs = expiresAtMs;
		this.listener = listener;
		for (int i = 0; i < route.stages().size(); i++) {
			this.stages.add(new StageProgress(route.stages().get(i), request.itemCount(i)));
		}
	}

	/**
	 * Estimates when the stages would be done and the prompt read, with the admitted work
	 * that precedes the request.
	 * @param endpoints returns the available endpoints of a service, as the equivalent
	 * number of endpoints of usual speed
	 * @param catalog the configuration
	 * @param nowMs the current time in milliseconds
	 * @return the expected times
	 */
	PipelineAdmission.ExpectedTimes estimate(ToDoubleFunction<String> endpoints, Catalog catalog, long nowMs) {
		List<PipelineEstimate.StageLoad> loads = new ArrayList<>();
		for (int i = 0; i < this.stages.size(); i++) {
			StageProgress stage = this.stages.get(i);
			ServiceSpec service = catalog.services().get(stage.service());
			if (!stage.isOmitted() && service != null && service.stage() != null) {
				int itemsAhead = this.admittedWork.itemsAhead(service.name(), this.priority, nowMs);
				loads.add(new PipelineEstimate.StageLoad(service.stage(), endpoints.applyAsDouble(service.name()),
						itemsAhead, depth(i)));
			}
		}
		return new PipelineAdmission.ExpectedTimes(PipelineEstimate.stagesMs(loads), PipelineEstimate.unloadedMs(loads),
				this.promptMs);
	}

	/**
	 * Returns the services of the stages in which the request has work items.
	 * @return the names of the services
	 */
	Stream<String> services() {
		return this.stages.stream().filter((stage) -> !stage.isOmitted()).map(StageProgress::service);
	}

	private int depth(int index) {
		int longest = 0;
		for (int dependency : this.stages.get(index).spec().dependencies()) {
			longest = Math.max(longest, depth(dependency));
		}
		return longest + ((!this.stages.get(index).isOmitted()) ? 1 : 0);
	}

	void start() {
		this.stages.forEach((stage) -> this.admittedWork.add(stage.service(), this.priority, stage.admit()));
		advance();
	}

	private void advance() {
		for (int i = 0; i < this.stages.size(); i++) {
			StageProgress stage = this.stages.get(i);
			boolean ready = stage.spec().dependencies().stream().allMatch((index) -> this.stages.get(index).isDone());
			if (!stage.isStarted() && ready && !mustWait(i)) {
				stage.start(this.clockMs.getAsLong());
				submit(i, stage);
			}
		}
		if (!this.finished && this.stages.stream().allMatch(StageProgress::isDone)) {
			this.finished = true;
			this.listener.stagesDone();
		}
	}

	// A result produced long before it is needed occupies result space meanwhile, so a
	// stage waits while another unfinished one has a longer chain of stages after it.
	private boolean mustWait(int index) {
		long ownStagesAfter = stagesAfter(index);
		for (int i = 0; i < this.stages.size(); i++) {
			StageProgress other = this.stages.get(i);
			if (!other.isOmitted() && !other.isDone() && stagesAfter(i) > ownStagesAfter) {
				return true;
			}
		}
		return false;
	}

	private void submit(int index, StageProgress stage) {
		List<String> inputs = new ArrayList<>();
		stage.spec().dependencies().forEach((dependency) -> inputs.addAll(this.stages.get(dependency).handles()));
		String key = (stage.spec().dependencies().isEmpty()) ? this.request.inputKey() : "";
		String inputDomain = inputDomain(stage);
		long remainingMs = FIRST_EVENT_MS + this.promptMs + stagesAfter(index) * EXPECTED_STAGE_MS;
		for (int itemIndex : stage.unfinished()) {
			long itemId = this.client.newItemId();
			stage.submitted(itemId);
			WorkItem item = new WorkItem(itemId, this.request.attemptId(), index, itemIndex, key, inputs, inputDomain,
					this.priority, this.dueAtMs - remainingMs,
					Math.min(this.expiresAtMs - remainingMs, latestResultAtMs(index)), stage.spec().resultBytes());
			this.client.submit(stage.service(), item, (outcome) -> handleOutcome(stage, itemIndex, outcome));
		}
	}

	private long latestResultAtMs(int index) {
		return this.limitAtMs - stagesAfter(index) * EXPECTED_STAGE_MS;
	}

	/**
	 * Limits the time until the stages are done. Work items that can't be done in time
	 * fail.
	 * @param newLimitAtMs the time in milliseconds
	 */
	void limit(long newLimitAtMs) {
		this.limitAtMs = newLimitAtMs;
		for (int i = 0; i < this.stages.size(); i++) {
			long latestAtMs = latestResultAtMs(i);
			this.stages.get(i).itemIds().forEach((itemId) -> this.client.expireBy(itemId, latestAtMs));
		}
	}

	// The failure domain that the work items of a stage prefer, or an empty text: for
	// large results of a stage without dependencies, the domain of the engine that is
	// expected to run the request; for large inputs, the domain that keeps most of them.
	private String inputDomain(StageProgress stage) {
		if (stage.spec().dependencies().isEmpty()) {
			return (stage.spec().resultBytes() >= LARGE_RESULT_BYTES) ? this.engineDomain : "";
		}
		if (inputBytes(stage) < LARGE_RESULT_BYTES) {
			return "";
		}
		Map<String, Integer> counts = new HashMap<>();
		for (int dependency : stage.spec().dependencies()) {
			for (WorkItemOutcome outcome : this.stages.get(dependency).results()) {
				counts.merge(outcome.failureDomain(), 1, Integer::sum);
			}
		}
		return counts.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey).orElse("");
	}

	// Each work item reads all inputs of its stage.
	private long inputBytes(StageProgress stage) {
		long bytes = 0;
		for (int dependency : stage.spec().dependencies()) {
			StageProgress inputs = this.stages.get(dependency);
			bytes += inputs.itemCount() * inputs.spec().resultBytes();
		}
		return bytes * stage.itemCount();
	}

	private long stagesAfter(int index) {
		long longest = 0;
		for (int i = index + 1; i < this.stages.size(); i++) {
			if (this.route.stages().get(i).dependencies().contains(index) && !this.stages.get(i).isOmitted()) {
				longest = Math.max(longest, 1 + stagesAfter(i));
			}
		}
		return longest;
	}

	private void handleOutcome(StageProgress stage, int itemIndex, WorkItemOutcome outcome) {
		if (outcome.status().isLast()) {
			stage.ended(outcome.itemId());
		}
		if (this.finished) {
			if (outcome.isDone()) {
				this.client.release(stage.service(), List.of(outcome.handle()));
			}
			return;
		}
		switch (outcome.status()) {
			case INPUTS_READ -> inputsRead(stage, itemIndex);
			case DONE -> done(stage, itemIndex, outcome);
			case INPUT_GONE -> inputGone(stage);
			case FAILED -> failed(stage);
		}
	}

	private void inputsRead(StageProgress stage, int itemIndex) {
		stage.inputsRead(itemIndex);
		if (stage.hasReadInputs()) {
			fullyReadDependencies(stage).forEach(this::markEvictable);
		}
	}

	private void done(StageProgress stage, int itemIndex, WorkItemOutcome outcome) {
		stage.done(itemIndex, outcome);
		this.admittedWork.remove(stage.service(), this.priority, 1);
		if (this.client.isLost(outcome) && remakesLost()) {
			return;
		}
		if (stage.isDone()) {
			EventLog.request("stage_done", this.request.attemptId())
				.with("stage", this.stages.indexOf(stage))
				.with("service", stage.service())
				.with("pieces", stage.itemCount())
				.with("took_ms", this.clockMs.getAsLong() - stage.startedAtMs())
				.write();
			fullyReadDependencies(stage).stream().filter((dependency) -> !isNeeded(dependency)).forEach(this::release);
			advance();
		}
	}

	private void failed(StageProgress stage) {
		this.finished = true;
		this.resultsOfFailure = keptResults();
		close();
		this.listener.stageFailed(stage.service());
	}

	// Inputs were evicted before a call that had read them failed, or the endpoint that
	// kept them was lost. The dependencies run again, but only once per request.
	private void inputGone(StageProgress stage) {
		if (this.inputsRecomputed) {
			failed(stage);
			return;
		}
		logRemade(stage, "gone");
		runAgain(stage);
		advance();
	}

	private void logRemade(StageProgress stage, String reason) {
		this.inputsRecomputed = true;
		EventLog.request("inputs_remade", this.request.attemptId())
			.with("service", stage.service())
			.with("reason", reason)
			.write();
	}

	/**
	 * Makes the results again that are needed and whose endpoint has started again since,
	 * but only once per request; a second time the run fails.
	 * @return {@code false} if all results that are needed can be used
	 */
	boolean remakesLost() {
		List<StageProgress> lost = this.stages.stream().filter((stage) -> isInUse(stage) && hasLost(stage)).toList();
		if (lost.isEmpty()) {
			return false;
		}
		if (this.inputsRecomputed || this.closed) {
			failed(lost.get(0));
			return true;
		}
		this.finished = false;
		lost.forEach((stage) -> {
			logRemade(stage, "restarted");
			remake(stage);
		});
		advance();
		return true;
	}

	private boolean isInUse(StageProgress stage) {
		return this.route.finalStages().contains(this.stages.indexOf(stage)) || isNeeded(stage);
	}

	private boolean hasLost(StageProgress stage) {
		return stage.results().stream().anyMatch(this.client::isLost);
	}

	private void remake(StageProgress lost) {
		dependents(lost).filter((dependent) -> !dependent.isDone()).forEach((dependent) -> {
			dependent.takeItemIds().forEach(this.client::cancel);
			dependent.reset();
		});
		release(lost);
		this.admittedWork.add(lost.service(), this.priority, lost.discardResults());
		runAgain(lost);
	}

	private void runAgain(StageProgress stage) {
		stage.takeItemIds().forEach(this.client::cancel);
		stage.reset();
		for (int index : stage.spec().dependencies()) {
			StageProgress dependency = this.stages.get(index);
			release(dependency);
			this.admittedWork.add(dependency.service(), this.priority, dependency.discardResults());
			runAgain(dependency);
		}
	}

	// The dependencies whose results all dependent stages have read. Their results only
	// occupy result space, unless a call fails.
	private List<StageProgress> fullyReadDependencies(StageProgress dependent) {
		return dependent.spec()
			.dependencies()
			.stream()
			.map(this.stages::get)
			.filter((dependency) -> dependents(dependency).allMatch(StageProgress::hasReadInputs))
			.toList();
	}

	private boolean isNeeded(StageProgress stage) {
		return !dependents(stage).allMatch(StageProgress::isDone);
	}

	private Stream<StageProgress> dependents(StageProgress stage) {
		int index = this.stages.indexOf(stage);
		return this.stages.stream().filter((dependent) -> dependent.spec().dependencies().contains(index));
	}

	private void markEvictable(StageProgress stage) {
		List<String> handles = stage.handles();
		if (!handles.isEmpty() && !stage.isReleased()) {
			this.client.markEvictable(stage.service(), handles);
		}
	}

	// What has the handle of a lost result now may belong to another request.
	private void release(StageProgress stage) {
		List<String> handles = stage.results()
			.stream()
			.filter((result) -> !this.client.isLost(result))
			.map(WorkItemOutcome::handle)
			.toList();
		if (!handles.isEmpty() && !stage.isReleased()) {
			stage.release();
			this.client.release(stage.service(), handles);
		}
	}

	/**
	 * Returns the number of results that are kept for the request.
	 * @return the number of results; after {@link #close}, 0 or those that were kept when
	 * a stage failed
	 */
	int keptResults() {
		return (this.closed) ? this.resultsOfFailure
				: this.stages.stream()
					.filter((stage) -> !stage.isReleased())
					.mapToInt((stage) -> stage.results().size())
					.sum();
	}

	/**
	 * Returns whether the stages are done or have failed.
	 * @return {@code false} while stages run
	 */
	boolean isFinished() {
		return this.finished;
	}

	/**
	 * Returns the results that the request itself needs.
	 * @return the handles of the results, or {@code null} if the route has no stages
	 */
	List<String> finalHandles() {
		if (this.stages.isEmpty()) {
			return null;
		}
		List<String> handles = new ArrayList<>();
		this.route.finalStages().forEach((index) -> handles.addAll(this.stages.get(index).handles()));
		return handles;
	}

	/**
	 * Returns the failure domains and sizes of the results that the request itself needs.
	 * @return the results as inputs of the request
	 */
	List<Placement.Input> finalInputs() {
		List<Placement.Input> inputs = new ArrayList<>();
		for (int index : this.route.finalStages()) {
			StageProgress stage = this.stages.get(index);
			for (WorkItemOutcome outcome : stage.results()) {
				inputs.add(new Placement.Input(outcome.failureDomain(), stage.spec().resultBytes()));
			}
		}
		return inputs;
	}

	/**
	 * Cancels all unfinished work items and releases all results.
	 */
	void close() {
		this.finished = true;
		this.closed = true;
		this.stages.forEach((stage) -> {
			stage.takeItemIds().forEach(this.client::cancel);
			this.admittedWork.remove(stage.service(), this.priority, stage.takeAdmitted());
			release(stage);
		});
	}

	/**
	 * Receives the result of a run. The stages are done once more after results were made
	 * again.
	 */
	interface Listener {

		void stagesDone();

		void stageFailed(String service);

	}

}
