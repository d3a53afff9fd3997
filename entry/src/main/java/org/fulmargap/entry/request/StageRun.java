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
 * Runs the stages of one request: a stage starts when all stages before it are done.
 */
final class StageRun {

	/**
	 * What a stage is expected to take, in milliseconds, to order work items by urgency.
	 */
	private static final long STAGE_MS = 260;

	/**
	 * What the request itself takes to its first event beside reading the prompt, in
	 * milliseconds.
	 */
	private static final long FIRST_EVENT_MS = 100;

	/** Results from this size on are made beside their user, in bytes. */
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

	private boolean remade;

	private boolean finished;

	/**
	 * Creates a run.
	 * @param clockMs the present time in milliseconds
	 * @param client runs work items
	 * @param admittedWork the work items that admitted requests still need
	 * @param route the route
	 * @param request what the caller asks for
	 * @param engineDomain the failure domain of the engine that will probably run the
	 * request, or an empty text
	 * @param promptMs what an engine is expected to take to read the prompt, in
	 * milliseconds
	 * @param priority the rank of the request; 0 is the most urgent
	 * @param dueAtMs when the first event is due, in milliseconds
	 * @param expiresAtMs when the request is given up, in milliseconds
	 * @param listener hears the end
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
	 * Estimates when the request would be answered, given those before it.
	 * @param endpoints the endpoints of a service that work
	 * @param catalog the configuration
	 * @param nowMs the present time in milliseconds
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

	private int depth(int index) {
		int most = 0;
		for (int before : this.stages.get(index).spec().dependencies()) {
			most = Math.max(most, depth(before));
		}
		return most + ((!this.stages.get(index).isOmitted()) ? 1 : 0);
	}

	void start() {
		this.stages.forEach((stage) -> this.admittedWork.add(stage.service(), this.priority, stage.admit()));
		advance();
	}

	private void advance() {
		for (int i = 0; i < this.stages.size(); i++) {
			StageProgress stage = this.stages.get(i);
			boolean ready = stage.spec().dependencies().stream().allMatch((index) -> this.stages.get(index).isDone());
			if (!stage.isStarted() && ready && !isEarly(i)) {
				stage.start(this.clockMs.getAsLong());
				submit(i, stage);
			}
		}
		if (!this.finished && this.stages.stream().allMatch(StageProgress::isDone)) {
			this.finished = true;
			this.listener.stagesDone();
		}
	}

	// A result that is made long before it is needed takes up room meanwhile. A stage
	// waits until no other stage has more stages behind it.
	private boolean isEarly(int index) {
		long behind = followers(index);
		for (int i = 0; i < this.stages.size(); i++) {
			StageProgress other = this.stages.get(i);
			if (!other.isOmitted() && !other.isDone() && followers(i) > behind) {
				return true;
			}
		}
		return false;
	}

	private void submit(int index, StageProgress stage) {
		List<String> inputs = new ArrayList<>();
		stage.spec().dependencies().forEach((before) -> inputs.addAll(this.stages.get(before).handles()));
		String key = (stage.spec().dependencies().isEmpty()) ? this.request.inputKey() : "";
		String inputDomain = inputDomain(stage);
		long behindMs = FIRST_EVENT_MS + this.promptMs + followers(index) * STAGE_MS;
		for (int itemIndex : stage.missing()) {
			long itemId = this.client.newItemId();
			stage.submitted(itemId);
			WorkItem item = new WorkItem(itemId, this.request.attemptId(), index, itemIndex, key, inputs, inputDomain,
					this.priority, this.dueAtMs - behindMs, this.expiresAtMs - behindMs, stage.spec().resultBytes());
			this.client.submit(stage.service(), item, (outcome) -> handleOutcome(stage, itemIndex, outcome));
		}
	}

	// Results that go to the request itself are best made beside the engine that will
	// probably run it.
	private String inputDomain(StageProgress stage) {
		if (stage.spec().dependencies().isEmpty()) {
			return (stage.spec().resultBytes() >= LARGE_RESULT_BYTES) ? this.engineDomain : "";
		}
		if (inputBytes(stage) < LARGE_RESULT_BYTES) {
			return "";
		}
		Map<String, Integer> counts = new HashMap<>();
		for (int before : stage.spec().dependencies()) {
			for (WorkItemOutcome outcome : this.stages.get(before).results()) {
				counts.merge(outcome.failureDomain(), 1, Integer::sum);
			}
		}
		return counts.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey).orElse("");
	}

	// Each work item of a stage reads all its inputs.
	private long inputBytes(StageProgress stage) {
		long bytes = 0;
		for (int before : stage.spec().dependencies()) {
			StageProgress inputs = this.stages.get(before);
			bytes += inputs.itemCount() * inputs.spec().resultBytes();
		}
		return bytes * stage.itemCount();
	}

	private long followers(int index) {
		long most = 0;
		for (int i = index + 1; i < this.stages.size(); i++) {
			if (this.route.stages().get(i).dependencies().contains(index) && !this.stages.get(i).isOmitted()) {
				most = Math.max(most, 1 + followers(i));
			}
		}
		return most;
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
		if (stage.needsNoInputs()) {
			unneededInputs(stage).forEach(this::markEvictable);
		}
	}

	private void done(StageProgress stage, int itemIndex, WorkItemOutcome outcome) {
		stage.done(itemIndex, outcome);
		this.admittedWork.remove(stage.service(), this.priority, 1);
		if (stage.isDone()) {
			EventLog.request("stage_done", this.request.attemptId())
				.with("stage", this.stages.indexOf(stage))
				.with("service", stage.service())
				.with("pieces", stage.itemCount())
				.with("took_ms", this.clockMs.getAsLong() - stage.startedAtMs())
				.write();
			unneededInputs(stage).stream().filter((before) -> !isNeeded(before)).forEach(this::release);
			advance();
		}
	}

	private void failed(StageProgress stage) {
		this.finished = true;
		close();
		this.listener.stageFailed(stage.service());
	}

	// The endpoint failed after its inputs were given up, or the one that kept them is
	// gone: the stages before make them again, once.
	private void inputGone(StageProgress stage) {
		if (this.remade) {
			failed(stage);
			return;
		}
		this.remade = true;
		EventLog.request("inputs_remade", this.request.attemptId()).with("service", stage.service()).write();
		rewind(stage);
		advance();
	}

	private void rewind(StageProgress stage) {
		stage.takeItemIds().forEach(this.client::cancel);
		stage.rewind();
		for (int index : stage.spec().dependencies()) {
			StageProgress before = this.stages.get(index);
			release(before);
			this.admittedWork.add(before.service(), this.priority, before.forget());
			rewind(before);
		}
	}

	// Results that no stage has to read any more take up room for nothing.
	private List<StageProgress> unneededInputs(StageProgress reader) {
		return reader.spec()
			.dependencies()
			.stream()
			.map(this.stages::get)
			.filter((before) -> readers(before).allMatch(StageProgress::needsNoInputs))
			.toList();
	}

	private boolean isNeeded(StageProgress stage) {
		return !readers(stage).allMatch(StageProgress::isDone);
	}

	private Stream<StageProgress> readers(StageProgress stage) {
		int index = this.stages.indexOf(stage);
		return this.stages.stream().filter((reader) -> reader.spec().dependencies().contains(index));
	}

	private void markEvictable(StageProgress stage) {
		List<String> handles = stage.handles();
		if (!handles.isEmpty() && !stage.isReleased()) {
			this.client.markEvictable(stage.service(), handles);
		}
	}

	private void release(StageProgress stage) {
		List<String> handles = stage.handles();
		if (!handles.isEmpty() && !stage.isReleased()) {
			stage.release();
			this.client.release(stage.service(), handles);
		}
	}

	/**
	 * Returns the results that the request itself needs.
	 * @return the names of the results, or {@code null} if the route has no stages
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
	 * Returns where the results that the request itself needs lie.
	 * @return the results
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
	 * Withdraws what still waits and gives up all results.
	 */
	void close() {
		this.finished = true;
		this.stages.forEach((stage) -> {
			stage.takeItemIds().forEach(this.client::cancel);
			this.admittedWork.remove(stage.service(), this.priority, stage.takeAdmitted());
			release(stage);
		});
	}

	/**
	 * Hears the end of a run.
	 */
	interface Listener {

		void stagesDone();

		void stageFailed(String service);

	}

}
