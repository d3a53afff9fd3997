package org.fulmargap.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that are cut off from all endpoints and serve few of their requests,
 * run one twice or answer it with the answer to another: cuts of several VMs follow and
 * overlap each other, and a relay is restarted. The system property {@code cutoff.seeds}
 * sets the seeds, for example {@code 1-50}.
 */
class CutOffSoakTests {

	private static final int CUT_VMS = 3;

	/** The VM that is never cut off, but restarted. */
	private static final int RELAY = CUT_VMS;

	private static final int ENDPOINTS = 6;

	private static final int CALLERS = 12;

	private static final int WORK_MS = 20;

	private static final int RUN_MS = 15_000;

	private static final int MAX_PAUSE_MS = 2_000;

	private static final int MIN_CUT_MS = 4_500;

	private static final int CUT_RANGE_MS = 2_000;

	private static final int SILENCE_MS = 3_000;

	/** How long a caller waits after an answer that is no success. */
	private static final int RETRY_MS = 50;

	private static final double MIN_SHARE_OF_OTHERS = 2.0 / 3;

	private static final int MIN_SAMPLES = 30;

	private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	private final Set<String> promisedIds = ConcurrentHashMap.newKeySet();

	private final Queue<String> mistakes = new ConcurrentLinkedQueue<>();

	private final AtomicInteger sent = new AtomicInteger();

	private final Samples atCutVms = new Samples();

	private final Samples atOtherVms = new Samples();

	private final ContactState[] states = new ContactState[CUT_VMS + 1];

	static LongStream seeds() {
		String[] range = System.getProperty("cutoff.seeds", "1-2").split("-");
		return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void vmsThatAreCutOffServeTheirCallers(long seed) throws Exception {
		List<EndpointLinks> links = new ArrayList<>();
		List<RawEndpointStandIn> endpoints = new ArrayList<>();
		ExecutorService threads = Executors.newCachedThreadPool();
		try (Installation installation = new Installation(); ProcessStalls stalls = new ProcessStalls()) {
			start(installation, links, endpoints);
			play(seed, installation, links, threads);
			String summary = "seed " + seed + ": " + this.sent + " requests; served at cut VMs " + this.atCutVms
					+ ", at others " + this.atOtherVms + ", longest stall of the process " + stalls.longestMs() + " ms";
			System.out.println(summary);
			this.promisedIds.stream()
				.filter(this.runs::containsKey)
				.forEach((id) -> this.mistakes.add(id + " ran, but was answered as not run"));
			assertThat(this.mistakes).as(summary).isEmpty();
			assertThat(this.atCutVms.all.get()).as(summary).isGreaterThanOrEqualTo(MIN_SAMPLES);
			assertThat(this.atCutVms.share()).as(summary)
				.isGreaterThanOrEqualTo(this.atOtherVms.share() * MIN_SHARE_OF_OTHERS);
		}
		finally {
			threads.shutdownNow();
			for (EndpointLinks link : links) {
				link.close();
			}
			for (RawEndpointStandIn endpoint : endpoints) {
				endpoint.close();
			}
		}
	}

	private void start(Installation installation, List<EndpointLinks> links, List<RawEndpointStandIn> endpoints)
			throws Exception {
		for (int i = 0; i < ENDPOINTS; i++) {
			RawEndpointStandIn endpoint = new RawEndpointStandIn(this::answer);
			endpoints.add(endpoint);
			installation.store().put(CallerWire.ENDPOINT_TOPIC, "core-" + i, endpoint.record("core"));
		}
		for (int vm = 0; vm < CUT_VMS; vm++) {
			EndpointLinks link = new EndpointLinks();
			for (RawEndpointStandIn endpoint : endpoints) {
				link.route(TcpForwarder.address(endpoint.address()));
			}
			links.add(link);
			installation.vm("vm-" + vm, link::route);
			this.states[vm] = new ContactState();
		}
		installation.vm("vm-relay");
		this.states[RELAY] = new ContactState();
		installation.awaitReady();
		Thread.sleep(Installation.CONTACT_MS);
	}

	private boolean answer(java.net.Socket socket, RawEndpointStandIn.Request request) throws IOException {
		int run = this.runs.computeIfAbsent(request.attemptId(), (id) -> new AtomicInteger()).incrementAndGet();
		if (run > 1 && request.path().startsWith("/push/")) {
			this.mistakes.add(request.attemptId() + " ran " + run + " times");
		}
		try {
			Thread.sleep(WORK_MS);
		}
		catch (InterruptedException ex) {
			throw new IOException("the stand-in was closed", ex);
		}
		return RawEndpointStandIn.answer(socket, request);
	}

	private void play(long seed, Installation installation, List<EndpointLinks> links, ExecutorService threads)
			throws Exception {
		long endAtMs = System.currentTimeMillis() + RUN_MS;
		List<Future<?>> running = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			Random random = new Random(seed * 1_000 + i);
			running.add(threads.submit(() -> {
				call(installation, endAtMs, random);
				return null;
			}));
		}
		for (int vm = 0; vm < CUT_VMS; vm++) {
			Random random = new Random(seed * 100 + vm);
			EndpointLinks link = links.get(vm);
			ContactState state = this.states[vm];
			running.add(threads.submit(() -> {
				cutAgainAndAgain(link, state, endAtMs, random);
				return null;
			}));
		}
		Random random = new Random(seed);
		Thread.sleep(RUN_MS / 3 + random.nextInt(RUN_MS / 3));
		this.states[RELAY].changed(false);
		installation.restart(RELAY);
		this.states[RELAY].changed(false);
		for (Future<?> future : running) {
			future.get();
		}
	}

	private static void cutAgainAndAgain(EndpointLinks link, ContactState state, long endAtMs, Random random)
			throws Exception {
		while (System.currentTimeMillis() < endAtMs) {
			Thread.sleep(random.nextInt(MAX_PAUSE_MS));
			link.cut(EndpointLinks.Cut.values()[random.nextInt(EndpointLinks.Cut.values().length)]);
			state.changed(true);
			Thread.sleep(MIN_CUT_MS + random.nextInt(CUT_RANGE_MS));
			link.restore();
			state.changed(false);
		}
	}

	private void call(Installation installation, long endAtMs, Random random) throws Exception {
		while (System.currentTimeMillis() < endAtMs) {
			int vm = random.nextInt(CUT_VMS + 1);
			try (KeptConnection connection = new KeptConnection(installation.callerAddress(vm))) {
				boolean open = true;
				while (open && System.currentTimeMillis() < endAtMs) {
					open = exchange(connection, vm, (random.nextInt(3) > 0) ? CallerMethod.GET : CallerMethod.POST);
				}
			}
			catch (IOException ex) {
				// The VM is being restarted.
				Thread.sleep(RETRY_MS);
			}
		}
	}

	private boolean exchange(KeptConnection connection, int vm, CallerMethod method) throws Exception {
		String attemptId = "c" + this.sent.incrementAndGet();
		Samples samples = samples(vm, System.currentTimeMillis());
		ReceivedAnswer answer = connection.exchange(method.request(attemptId), method, SILENCE_MS);
		boolean served = answer.isSuccess() && answer.isComplete();
		if (samples != null) {
			samples.add(served);
		}
		if (served && !answer.body().equals(RawEndpointStandIn.body(attemptId))) {
			this.mistakes.add(attemptId + " got " + answer);
		}
		if (method == CallerMethod.POST && answer.promisesNoRun()) {
			this.promisedIds.add(attemptId);
		}
		if (!served) {
			Thread.sleep(RETRY_MS);
		}
		return answer.keepsConnection();
	}

	// Requests are compared once the last change at the VM and at the only one that is
	// never cut off is long enough ago.
	private Samples samples(int vm, long nowMs) {
		if (!this.states[vm].isSettled(nowMs) || !this.states[RELAY].isSettled(nowMs)) {
			return null;
		}
		return (this.states[vm].isCut) ? this.atCutVms : this.atOtherVms;
	}

	/**
	 * Whether a VM is cut off, and since when.
	 */
	private static final class ContactState {

		private volatile boolean isCut;

		private volatile long changedAtMs;

		private void changed(boolean nowCut) {
			this.changedAtMs = System.currentTimeMillis();
			this.isCut = nowCut;
		}

		private boolean isSettled(long nowMs) {
			return nowMs - this.changedAtMs >= Installation.CONTACT_MS;
		}

	}

	/**
	 * How many requests were served.
	 */
	private static final class Samples {

		private final AtomicInteger all = new AtomicInteger();

		private final AtomicInteger served = new AtomicInteger();

		private void add(boolean isServed) {
			this.all.incrementAndGet();
			if (isServed) {
				this.served.incrementAndGet();
			}
		}

		private double share() {
			return this.served.get() / (double) Math.max(1, this.all.get());
		}

		@Override
		public String toString() {
			return this.served + " of " + this.all;
		}

	}

}
