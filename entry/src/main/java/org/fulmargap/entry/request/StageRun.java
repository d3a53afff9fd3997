package org.fulmargap.entry.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmargap.batch.CommittedWork;
import org.fulmargap.batch.Piece;
import org.fulmargap.batch.PipelineEstimate;
import org.fulmargap.catalog.Catalog;
import org.fulmargap.catalog.Route;
import org.fulmargap.catalog.ServiceSpec;
import org.fulmargap.catalog.StageSpec;
import org.fulmargap.entry.StoreView;
import org.fulmargap.entry.stage.PieceOutcome;
import org.fulmargap.entry.stage.StageClient;
import org.fulmargap.placement.Placement;
import org.fulmargap.platform.CallerRequest;

/**
 * Runs the stages of one request: a stage starts when all stages before it are done.
 */
final class StageRun {

	/** What a stage is expected to take, in milliseconds, to order pieces by urgency. */
	private static final long STAGE_MS = 260;

	/**
	 * What the request itself is expected to take to its first event, in milliseconds.
	 */
	private static final long FIRST_EVENT_MS = 150;

	/** Results from this size on are made beside their user, in bytes. */
	private static final long LARGE_RESULT_BYTES = 500_000;

	private final StageClient client;

	private final CommittedWork committed;

	private final Route route;

	private final CallerRequest request;

	private final String engineDomain;

	private final int priority;

	private final long dueAtMs;

	private final long expiresAtMs;

	private final Listener listener;

	private final List<Stage> stages = new ArrayList<>();

	private final Set<Long> waiting = new HashSet<>();

	private boolean over;

	/**
	 * Creates a run.
	 * @param client runs pieces
	 * @param committed the pieces that admitted requests still need
	 * @param route the route
	 * @param request what the caller asks for
	 * @param engineDomain the failure domain of the engine that will probably run the
	 * request, or an empty text
	 * @param priority the rank of the request; 0 is the most urgent
	 * @param dueAtMs when the first event is due, in milliseconds
	 * @param expiresAtMs when the request is given up, in milliseconds
	 * @param listener hears the end
	 */
	StageRun(StageClient client, CommittedWork committed, Route route, CallerRequest request, String engineDomain,
			int priority, long dueAtMs, long expiresAtMs, Listener listener) {
		this.client = client;
		this.committed = committed;
		this.route = route;
		this.request = request;
		this.engineDomain = engineDomain;
		this.priority = priority;
		this.dueAtMs = dueAtMs;
		this.expiresAtMs = expiresAtMs;
		this.listener = listener;
		for (int i = 0; i < route.stages().size(); i++) {
			this.stages.add(new Stage(route.stages().get(i), request.pieceCount(i)));
		}
	}

	/**
	 * Estimates when the stages would be done, given the requests before this one.
	 * @param view what the platform's store holds
	 * @param catalog the configuration
	 * @param nowMs the present time in milliseconds
	 * @return the time from now in milliseconds
	 */
	double estimateMs(StoreView view, Catalog catalog, long nowMs) {
		List<PipelineEstimate.StageLoad> loads = new ArrayList<>();
		for (int i = 0; i < this.stages.size(); i++) {
			Stage stage = this.stages.get(i);
			ServiceSpec service = catalog.services().get(stage.spec.service());
			if (stage.outcomes.length > 0 && service != null && service.stage() != null) {
				int endpoints = view.directory().open(service.name(), nowMs).size();
				int before = this.committed.before(service.name(), this.priority, nowMs);
				loads.add(new PipelineEstimate.StageLoad(service.stage(), endpoints, before, depth(i)));
			}
		}
		return PipelineEstimate.stagesMs(loads);
	}

	private int depth(int index) {
		int most = 0;
		for (int before : this.stages.get(index).spec.after()) {
			most = Math.max(most, depth(before));
		}
		return most + ((this.stages.get(index).outcomes.length > 0) ? 1 : 0);
	}

	void start() {
		this.stages.forEach((stage) -> {
			stage.committed = stage.outcomes.length;
			this.committed.add(stage.spec.service(), this.priority, stage.committed);
		});
		advance();
	}

	private void advance() {
		for (int i = 0; i < this.stages.size(); i++) {
			Stage stage = this.stages.get(i);
			boolean ready = stage.spec.after().stream().allMatch((index) -> this.stages.get(index).isDone());
			if (!stage.started && ready && !isEarly(i)) {
				stage.started = true;
				submit(i, stage);
			}
		}
		if (!this.over && this.stages.stream().allMatch(Stage::isDone)) {
			this.over = true;
			this.listener.stagesDone();
		}
	}

	// A result that is made long before it is needed takes up room meanwhile: a stage
	// waits
	// until no other stage has more stages behind it.
	private boolean isEarly(int index) {
		long behind = followers(index);
		for (int i = 0; i < this.stages.size(); i++) {
			Stage other = this.stages.get(i);
			if (other.outcomes.length > 0 && !other.isDone() && followers(i) > behind) {
				return true;
			}
		}
		return false;
	}

	private void submit(int index, Stage stage) {
		List<String> inputs = new ArrayList<>();
		stage.spec.after().forEach((before) -> this.stages.get(before).addHandles(inputs));
		String key = (stage.spec.after().isEmpty()) ? this.request.chunkKey() : "";
		String inputDomain = inputDomain(stage);
		long behindMs = FIRST_EVENT_MS + followers(index) * STAGE_MS;
		long stageDueAtMs = this.dueAtMs - behindMs;
		for (int segment = 0; segment < stage.outcomes.length; segment++) {
			long ticket = this.client.newTicket();
			int place = segment;
			this.waiting.add(ticket);
			Piece piece = new Piece(ticket, this.request.attemptId(), index, segment, key, inputs, inputDomain,
					this.priority, stageDueAtMs, this.expiresAtMs - behindMs, stage.spec.resultBytes());
			this.client.submit(stage.spec.service(), piece, (outcome) -> finished(stage, place, outcome));
		}
	}

	// Results that go to the request itself are best made beside the engine that will
	// probably run it.
	private String inputDomain(Stage stage) {
		if (stage.spec.after().isEmpty()) {
			return (stage.spec.resultBytes() >= LARGE_RESULT_BYTES) ? this.engineDomain : "";
		}
		Map<String, Integer> counts = new HashMap<>();
		for (int before : stage.spec.after()) {
			for (PieceOutcome outcome : this.stages.get(before).outcomes) {
				counts.merge(outcome.failureDomain(), 1, Integer::sum);
			}
		}
		return counts.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey).orElse("");
	}

	private long followers(int index) {
		long most = 0;
		for (int i = index + 1; i < this.stages.size(); i++) {
			if (this.route.stages().get(i).after().contains(index) && this.stages.get(i).outcomes.length > 0) {
				most = Math.max(most, 1 + followers(i));
			}
		}
		return most;
	}

	private void finished(Stage stage, int place, PieceOutcome outcome) {
		this.waiting.remove(outcome.ticket());
		if (this.over) {
			if (outcome.isDone()) {
				this.client.release(stage.spec.service(), List.of(outcome.handle()));
			}
			return;
		}
		if (!outcome.isDone()) {
			this.over = true;
			close();
			this.listener.stageFailed(stage.spec.service());
			return;
		}
		stage.outcomes[place] = outcome;
		stage.done++;
		stage.committed--;
		this.committed.remove(stage.spec.service(), this.priority, 1);
		if (stage.isDone()) {
			releaseInputs(stage);
			advance();
		}
	}

	// Results that only the finished stage needed take up room for nothing.
	private void releaseInputs(Stage finished) {
		for (int index : finished.spec.after()) {
			Stage before = this.stages.get(index);
			boolean needed = this.stages.stream()
				.anyMatch((stage) -> !stage.isDone() && stage.spec.after().contains(index));
			if (!needed) {
				release(before);
			}
		}
	}

	private void release(Stage stage) {
		List<String> handles = new ArrayList<>();
		stage.addHandles(handles);
		if (!handles.isEmpty() && !stage.released) {
			stage.released = true;
			this.client.release(stage.spec.service(), handles);
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
		this.route.finalStages().forEach((index) -> this.stages.get(index).addHandles(handles));
		return handles;
	}

	/**
	 * Returns where the results that the request itself needs lie.
	 * @return the results
	 */
	List<Placement.Input> finalInputs() {
		List<Placement.Input> inputs = new ArrayList<>();
		for (int index : this.route.finalStages()) {
			Stage stage = this.stages.get(index);
			for (PieceOutcome outcome : stage.outcomes) {
				if (outcome != null) {
					inputs.add(new Placement.Input(outcome.failureDomain(), stage.spec.resultBytes()));
				}
			}
		}
		return inputs;
	}

	/**
	 * Withdraws what still waits and gives up all results.
	 */
	void close() {
		this.over = true;
		List.copyOf(this.waiting).forEach(this.client::withdraw);
		this.waiting.clear();
		this.stages.forEach((stage) -> {
			this.committed.remove(stage.spec.service(), this.priority, stage.committed);
			stage.committed = 0;
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

	private static final class Stage {

		private final StageSpec spec;

		private final PieceOutcome[] outcomes;

		private int done;

		private int committed;

		private boolean started;

		private boolean released;

		private Stage(StageSpec spec, int pieceCount) {
			this.spec = spec;
			this.outcomes = new PieceOutcome[pieceCount];
		}

		private boolean isDone() {
			return this.started && this.done == this.outcomes.length;
		}

		private void addHandles(List<String> handles) {
			for (PieceOutcome outcome : this.outcomes) {
				if (outcome != null) {
					handles.add(outcome.handle());
				}
			}
		}

	}

}
