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
 * Simulates requests with stages in virtual time, against endpoints with limited space
 * for results. Capacities and sizes are those of the users' data sheets. Several entry
 * VMs exchange their admitted work by heartbeats.
 */
final class PipelineLoad {

	private static final long MAX_WAIT_MS = 6_000;

	private static final long ENGINE_MS = 100;

	private static final long STAGE_MS = 260;

	private static final long READ_INPUTS_MS = 80;

	private static final long FREE_MS = 12;

	private static final int VMS = 7;

	private static final int MEAN_GROUP_SIZE = 3;

	private static final String[] DOMAINS = { "a", "a", "b", "c" };

	private final Random random = new Random(11);

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::number));

	private final List<Stage> stages = new ArrayList<>();

	private final long objectiveMs;

	private final List<AdmittedWork> vms = new ArrayList<>();

	private final boolean evictsReadInputs;

	private final long heartbeatMs;

	private final long arrivalsMs;

	private double nowMs;

	private long lastNumber;

	private int arrived;

	private int refused;

	private int inTime;

	private long items;

	private long remoteItems;

	private PipelineLoad(boolean evictsReadInputs, long heartbeatMs, long arrivalsMs, long objectiveMs) {
		this.evictsReadInputs = evictsReadInputs;
		this.objectiveMs = objectiveMs;
		this.heartbeatMs = heartbeatMs;
		for (int i = 0; i < VMS; i++) {
			this.vms.add(new AdmittedWork());
		}
		this.arrivalsMs = arrivalsMs;
	}

	/**
	 * Creates a simulation of requests with three stages: one work item of
	 * {@code store-portal}, six of {@code chain-sync} and ten of {@code legacy-bridge}.
	 * @param evictsReadInputs whether inputs become evictable once they are read, instead
	 * of being kept until the stage that reads them is done
	 * @param heartbeatMs the interval of the heartbeats between entry VMs, in
	 * milliseconds
	 * @param arrivalsMs the time during which requests arrive, in milliseconds
	 * @return the simulation
	 */
	static PipelineLoad threeStages(boolean evictsReadInputs, long heartbeatMs, long arrivalsMs) {
		PipelineLoad load = new PipelineLoad(evictsReadInputs, heartbeatMs, arrivalsMs, 1_900);
		load.add("store-portal", new StageCapacity(1, 2, 7, 200, 7.2, 15_750_000, 4_000), 3, 1, 8_000);
		load.add("chain-sync", new StageCapacity(1, 2, 17, 200, 10.1176, 2_295_000, 4_000), 4, 6, 60_000);
		load.add("legacy-bridge", new StageCapacity(1, 2, 30, 200, 5.66667, 397_059, 4_000), 4, 10, 6_000);
		return load;
	}

	/**
	 * Creates a simulation of requests with one stage: two work items of
	 * {@code store-portal} with large results.
	 * @param heartbeatMs the interval of the heartbeats between entry VMs, in
	 * milliseconds
	 * @param arrivalsMs the time during which requests arrive, in milliseconds
	 * @return the simulation
	 */
	static PipelineLoad oneStage(long heartbeatMs, long arrivalsMs) {
		PipelineLoad load = new PipelineLoad(true, heartbeatMs, arrivalsMs, 1_100);
		load.add("store-portal", new StageCapacity(1, 2, 7, 200, 24, 15_750_000, 4_000), 3, 2, 1_500_000);
		return load;
	}

	private void add(String name, StageCapacity capacity, int endpoints, int itemsPerRequest, long resultBytes) {
		this.stages.add(new Stage(name, capacity, endpoints, itemsPerRequest, resultBytes));
	}

	/**
	 * Runs the simulation to its end.
	 * @param requestsPerSecond the mean rate of arrivals
	 * @return this simulation, with its results
	 */
	PipelineLoad run(double requestsPerSecond) {
		scheduleArrivals(requestsPerSecond);
		for (int i = 0; i < VMS; i++) {
			int vm = i;
			schedule(i * this.heartbeatMs / (double) VMS, () -> heartbeat(vm));
		}
		while (!this.events.isEmpty()) {
			Event event = this.events.poll();
			this.nowMs = event.atMs();
			event.action().run();
		}
		return this;
	}

	double inTimeShare() {
		return this.inTime / (double) this.arrived;
	}

	double refusedShare() {
		return this.refused / (double) this.arrived;
	}

	double remoteShare() {
		return this.remoteItems / (double) this.items;
	}

	private void schedule(double delayMs, Runnable action) {
		this.lastNumber++;
		this.events.add(new Event(this.nowMs + delayMs, this.lastNumber, action));
	}

	// Requests arrive in groups of one to five, three on average.
	private void scheduleArrivals(double requestsPerSecond) {
		double gapMs = -Math.log(1 - this.random.nextDouble()) * 1_000 * MEAN_GROUP_SIZE / requestsPerSecond;
		if (this.nowMs + gapMs < this.arrivalsMs) {
			schedule(gapMs, () -> {
				for (int i = this.random.nextInt(2 * MEAN_GROUP_SIZE - 1); i >= 0; i--) {
					new Request(this.vms.get(this.random.nextInt(VMS))).arrive();
				}
				scheduleArrivals(requestsPerSecond);
			});
		}
	}

	private void heartbeat(int vm) {
		for (AdmittedWork other : this.vms) {
			if (other != this.vms.get(vm)) {
				other.recordReport("vm" + vm, this.vms.get(vm).own(), (long) this.nowMs);
			}
		}
		if (this.nowMs < this.arrivalsMs) {
			schedule(this.heartbeatMs, () -> heartbeat(vm));
		}
	}

	private record Event(double atMs, long number, Runnable action) {
	}

	/**
	 * A stage service and its endpoints.
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
			schedule(READ_INPUTS_MS, () -> call.items().forEach((item) -> request(item).inputsRead(this)));
			schedule(call.expectedMs(), () -> end(call));
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
			schedule(FREE_MS, () -> {
				this.scheduler.release(handle.substring(0, handle.indexOf('/')), handle);
				dispatch();
			});
		}

	}

	/**
	 * A request in flight.
	 */
	private final class Request {

		private final String id = "request" + PipelineLoad.this.arrived;

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
			PipelineLoad.this.arrived++;
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
				schedule(ENGINE_MS, this::firstEvent);
				return;
			}
			Stage stage = PipelineLoad.this.stages.get(this.stageIndex);
			stage.requests.put(this.id, this);
			long remainingMs = ENGINE_MS + (PipelineLoad.this.stages.size() - 1 - this.stageIndex) * STAGE_MS;
			long dueAtMs = (long) this.arrivedAtMs + PipelineLoad.this.objectiveMs - remainingMs;
			for (int i = 0; i < stage.itemsPerRequest; i++) {
				PipelineLoad.this.lastNumber++;
				stage.scheduler.add(new WorkItem(PipelineLoad.this.lastNumber, this.id, this.stageIndex, i, "",
						this.inputs, (this.stageIndex == 2) ? this.domain : "", 0, dueAtMs,
						(long) this.arrivedAtMs + MAX_WAIT_MS - remainingMs, stage.resultBytes));
			}
			schedule(0, stage::dispatch);
		}

		private void inputsRead(Stage reader) {
			this.readers++;
			if (PipelineLoad.this.evictsReadInputs && this.readers == reader.itemsPerRequest && this.stageIndex > 0) {
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
