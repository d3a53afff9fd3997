package org.fulmargap.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.fulmargap.catalog.StageCapacity;
import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.Endpoints;

/**
 * Plays requests with stages in virtual time against endpoints that keep results in
 * limited room, as on the users' sheets, with several entry VMs that know of each other's
 * requests from heartbeats.
 */
final class PipelineLoad {

	private static final long MAX_WAIT_MS = 6_000;

	private static final long ENGINE_MS = 100;

	private static final long STAGE_MS = 260;

	private static final long READ_INPUTS_MS = 80;

	private static final long FREE_MS = 12;

	private static final int VMS = 7;

	private static final int CLUMP = 3;

	private static final String[] DOMAINS = { "a", "a", "b", "c" };

	private final Random random = new Random(11);

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::number));

	private final List<Stage> stages = new ArrayList<>();

	private final long objectiveMs;

	private final List<AdmittedWork> vms = new ArrayList<>();

	private final boolean sparing;

	private final long heartbeatMs;

	private final long playMs;

	private double nowMs;

	private long numbers;

	private int asked;

	private int refused;

	private int inTime;

	private long items;

	private long remoteItems;

	private PipelineLoad(boolean sparing, long heartbeatMs, long playMs, long objectiveMs) {
		this.sparing = sparing;
		this.objectiveMs = objectiveMs;
		this.heartbeatMs = heartbeatMs;
		for (int i = 0; i < VMS; i++) {
			this.vms.add(new AdmittedWork());
		}
		this.playMs = playMs;
	}

	/**
	 * Prepares requests of three stages: one work item of {@code store-portal}, six of
	 * {@code chain-sync} and ten of {@code legacy-bridge}.
	 * @param sparing whether inputs are given up once they are read, not when their
	 * reader is done
	 * @param heartbeatMs how often the entry VMs tell each other what they admitted, in
	 * milliseconds
	 * @param playMs how long requests arrive, in milliseconds
	 * @return the play
	 */
	static PipelineLoad deep(boolean sparing, long heartbeatMs, long playMs) {
		PipelineLoad load = new PipelineLoad(sparing, heartbeatMs, playMs, 1_900);
		load.add("store-portal", new StageCapacity(1, 2, 7, 200, 7.2, 15_750_000, 4_000), 3, 1, 8_000);
		load.add("chain-sync", new StageCapacity(1, 2, 17, 200, 10.1176, 2_295_000, 4_000), 4, 6, 60_000);
		load.add("legacy-bridge", new StageCapacity(1, 2, 30, 200, 5.66667, 397_059, 4_000), 4, 10, 6_000);
		return load;
	}

	/**
	 * Prepares requests of one stage: two work items of {@code store-portal} with large
	 * results.
	 * @param heartbeatMs how often the entry VMs tell each other what they admitted, in
	 * milliseconds
	 * @param playMs how long requests arrive, in milliseconds
	 * @return the play
	 */
	static PipelineLoad shallow(long heartbeatMs, long playMs) {
		PipelineLoad load = new PipelineLoad(true, heartbeatMs, playMs, 1_100);
		load.add("store-portal", new StageCapacity(1, 2, 7, 200, 24, 15_750_000, 4_000), 3, 2, 1_500_000);
		return load;
	}

	private void add(String name, StageCapacity capacity, int endpoints, int itemsPerRequest, long resultBytes) {
		this.stages.add(new Stage(name, capacity, endpoints, itemsPerRequest, resultBytes));
	}

	/**
	 * Plays.
	 * @param requestsPerSecond how many requests arrive
	 * @return this play
	 */
	PipelineLoad play(double requestsPerSecond) {
		arriveAfter(requestsPerSecond);
		for (int i = 0; i < VMS; i++) {
			int vm = i;
			after(i * this.heartbeatMs / (double) VMS, () -> heartbeat(vm));
		}
		while (!this.events.isEmpty()) {
			Event event = this.events.poll();
			this.nowMs = event.atMs();
			event.action().run();
		}
		return this;
	}

	double inTimeShare() {
		return this.inTime / (double) this.asked;
	}

	double refusedShare() {
		return this.refused / (double) this.asked;
	}

	double remoteShare() {
		return this.remoteItems / (double) this.items;
	}

	private void after(double delayMs, Runnable action) {
		this.numbers++;
		this.events.add(new Event(this.nowMs + delayMs, this.numbers, action));
	}

	// Requests come in clumps of different sizes.
	private void arriveAfter(double requestsPerSecond) {
		double gapMs = -Math.log(1 - this.random.nextDouble()) * 1_000 * CLUMP / requestsPerSecond;
		if (this.nowMs + gapMs < this.playMs) {
			after(gapMs, () -> {
				for (int i = this.random.nextInt(2 * CLUMP - 1); i >= 0; i--) {
					new Request(this.vms.get(this.random.nextInt(VMS))).arrive();
				}
				arriveAfter(requestsPerSecond);
			});
		}
	}

	private void heartbeat(int vm) {
		for (AdmittedWork other : this.vms) {
			if (other != this.vms.get(vm)) {
				other.recordReport("vm" + vm, this.vms.get(vm).own(), (long) this.nowMs);
			}
		}
		if (this.nowMs < this.playMs) {
			after(this.heartbeatMs, () -> heartbeat(vm));
		}
	}

	private record Event(double atMs, long number, Runnable action) {
	}

	/**
	 * A stage service.
	 */
	private final class Stage {

		private final String name;

		private final StageCapacity capacity;

		private final BatchScheduler scheduler;

		private final List<Endpoint> endpoints = new ArrayList<>();

		private final int itemsPerRequest;

		private final long resultBytes;

		private final Map<String, Request> requests = new HashMap<>();

		private Stage(String name, StageCapacity capacity, int endpointCount, int itemsPerRequest, long resultBytes) {
			this.name = name;
			this.capacity = capacity;
			this.scheduler = new BatchScheduler(capacity);
			this.itemsPerRequest = itemsPerRequest;
			this.resultBytes = resultBytes;
			for (int i = 0; i < endpointCount; i++) {
				this.endpoints.add(Endpoints.ready(name + i, DOMAINS[i]));
			}
		}

		private void dispatch() {
			long now = (long) PipelineLoad.this.nowMs;
			for (WorkItem expired : this.scheduler.expire(this.endpoints.size(), now)) {
				this.requests.get(expired.attemptId()).failed = true;
			}
			var call = this.scheduler.next(this.endpoints, now);
			while (call.isPresent()) {
				start(call.get());
				call = this.scheduler.next(this.endpoints, now);
			}
			this.scheduler.evict(now).forEach(this::free);
		}

		private void start(StageCall call) {
			after(READ_INPUTS_MS, () -> call.items().forEach((item) -> request(item).inputsRead(this)));
			after(call.expectedMs(), () -> end(call));
			PipelineLoad.this.items += call.items().size();
			PipelineLoad.this.remoteItems += call.items().size() - this.scheduler.localCount(call);
		}

		private Request request(WorkItem item) {
			return this.requests.get(item.attemptId());
		}

		private void end(StageCall call) {
			this.scheduler.ended(call);
			for (WorkItem item : call.items()) {
				String handle = call.endpoint() + "/" + this.name + item.itemId();
				this.scheduler.recordResult(call.endpoint(), handle, this.resultBytes, (long) PipelineLoad.this.nowMs);
				request(item).done(this, handle, call.endpoint().record().failureDomain());
			}
			dispatch();
		}

		private void free(String handle) {
			after(FREE_MS, () -> {
				this.scheduler.release(handle.substring(0, handle.indexOf('/')), handle);
				dispatch();
			});
		}

	}

	/**
	 * A request on its way.
	 */
	private final class Request {

		private final String id = "request" + PipelineLoad.this.asked;

		private final double arrivedAtMs = PipelineLoad.this.nowMs;

		private int stageIndex = -1;

		private List<String> inputs = List.of();

		private List<String> results = new ArrayList<>();

		private String domain = "";

		private int readers;

		private boolean failed;

		private final AdmittedWork vm;

		private Request(AdmittedWork vm) {
			this.vm = vm;
		}

		private void arrive() {
			PipelineLoad.this.asked++;
			List<PipelineEstimate.StageLoad> loads = new ArrayList<>();
			for (int i = 0; i < PipelineLoad.this.stages.size(); i++) {
				Stage stage = PipelineLoad.this.stages.get(i);
				loads.add(new PipelineEstimate.StageLoad(stage.capacity, stage.endpoints.size(),
						this.vm.itemsAhead(stage.name, 0, (long) PipelineLoad.this.nowMs), i + 1));
			}
			PipelineAdmission.ExpectedTimes expected = new PipelineAdmission.ExpectedTimes(
					PipelineEstimate.stagesMs(loads), PipelineEstimate.unloadedMs(loads), 0);
			if (!PipelineAdmission.decide(expected, PipelineLoad.this.objectiveMs, MAX_WAIT_MS).admitted()) {
				PipelineLoad.this.refused++;
				return;
			}
			PipelineLoad.this.stages.forEach((stage) -> this.vm.add(stage.name, 0, stage.itemsPerRequest));
			nextStage();
		}

		private void nextStage() {
			this.stageIndex++;
			this.inputs = this.results;
			this.results = new ArrayList<>();
			this.readers = 0;
			if (this.stageIndex == PipelineLoad.this.stages.size()) {
				after(ENGINE_MS, this::firstEvent);
				return;
			}
			Stage stage = PipelineLoad.this.stages.get(this.stageIndex);
			stage.requests.put(this.id, this);
			long behindMs = ENGINE_MS + (PipelineLoad.this.stages.size() - 1 - this.stageIndex) * STAGE_MS;
			long dueAtMs = (long) this.arrivedAtMs + PipelineLoad.this.objectiveMs - behindMs;
			for (int i = 0; i < stage.itemsPerRequest; i++) {
				PipelineLoad.this.numbers++;
				stage.scheduler.add(new WorkItem(PipelineLoad.this.numbers, this.id, this.stageIndex, i, "",
						this.inputs, (this.stageIndex == 2) ? this.domain : "", 0, dueAtMs,
						(long) this.arrivedAtMs + MAX_WAIT_MS - behindMs, stage.resultBytes));
			}
			after(0, stage::dispatch);
		}

		private void inputsRead(Stage reader) {
			this.readers++;
			if (PipelineLoad.this.sparing && this.readers == reader.itemsPerRequest && this.stageIndex > 0) {
				this.inputs.forEach(PipelineLoad.this.stages.get(this.stageIndex - 1).scheduler::markEvictable);
			}
		}

		private void done(Stage stage, String handle, String failureDomain) {
			this.vm.remove(stage.name, 0, 1);
			this.results.add(handle);
			this.domain = failureDomain;
			if (this.results.size() == stage.itemsPerRequest) {
				if (this.stageIndex > 0) {
					this.inputs.forEach(PipelineLoad.this.stages.get(this.stageIndex - 1)::free);
				}
				nextStage();
			}
		}

		private void firstEvent() {
			this.inputs.forEach(PipelineLoad.this.stages.get(this.stageIndex - 1)::free);
			boolean onTime = PipelineLoad.this.nowMs - this.arrivedAtMs <= PipelineLoad.this.objectiveMs;
			PipelineLoad.this.inTime += (onTime && !this.failed) ? 1 : 0;
		}

	}

}
