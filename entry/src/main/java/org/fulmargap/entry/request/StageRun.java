package org.fulmargap.entry.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmargap.batch.Piece;
import org.fulmargap.catalog.Route;
import org.fulmargap.catalog.StageSpec;
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

	private final StageClient client;

	private final Route route;

	private final CallerRequest request;

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
	 * @param route the route
	 * @param request what the caller asks for
	 * @param priority the rank of the request; 0 is the most urgent
	 * @param dueAtMs when the first event is due, in milliseconds
	 * @param expiresAtMs when the request is given up, in milliseconds
	 * @param listener hears the end
	 */
	StageRun(StageClient client, Route route, CallerRequest request, int priority, long dueAtMs, long expiresAtMs,
			Listener listener) {
		this.client = client;
		this.route = route;
		this.request = request;
		this.priority = priority;
		this.dueAtMs = dueAtMs;
		this.expiresAtMs = expiresAtMs;
		this.listener = listener;
		for (int i = 0; i < route.stages().size(); i++) {
			this.stages.add(new Stage(route.stages().get(i), request.pieceCount(i)));
		}
	}

	void start() {
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

	private String inputDomain(Stage stage) {
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
		this.stages.forEach(this::release);
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
