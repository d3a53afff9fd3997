package org.fulmargap.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.StoreStandIn;
import org.fulmargap.rollout.RolloutLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against rollouts that send too much to a bad version, or that stop endpoints
 * which still get requests. Two VMs serve traffic meanwhile.
 */
class RolloutTests {

	private static final RolloutLimits LIMITS = new RolloutLimits(0.1, 50, 5_000);

	private static final int DURATION_S = 8;

	private static final int VMS = 2;

	private static final int ENDPOINTS = 3;

	private static final long REQUEST_INTERVAL_MS = 12;

	private final AtomicBoolean ended = new AtomicBoolean();

	private final AtomicInteger sent = new AtomicInteger();

	private final List<Thread> callers = new ArrayList<>();

	private final List<EndpointStandIn> old = new ArrayList<>();

	private final List<EndpointStandIn> updated = new ArrayList<>();

	private Installation installation;

	@BeforeEach
	void start() throws Exception {
		this.installation = new Installation();
		this.installation.rolloutLimits(LIMITS);
		for (int i = 0; i < ENDPOINTS; i++) {
			this.old.add(this.installation.endpoint("old-" + i, "core"));
		}
		for (int i = 0; i < VMS; i++) {
			this.installation.vm("vm-" + i);
		}
		this.installation.awaitReady();
		for (int i = 0; i < VMS; i++) {
			int vm = i;
			Thread caller = new Thread(() -> send(vm));
			caller.start();
			this.callers.add(caller);
		}
	}

	@AfterEach
	void stop() throws InterruptedException {
		this.ended.set(true);
		for (Thread caller : this.callers) {
			caller.join();
		}
		this.installation.close();
		this.updated.forEach(EndpointStandIn::close);
	}

	private void send(int vm) {
		while (!this.ended.get()) {
			try {
				this.installation.send(this.installation.attempt(vm, "/read/x"));
				this.sent.incrementAndGet();
				Thread.sleep(REQUEST_INTERVAL_MS);
			}
			catch (IOException ex) {
				// The VM is being restarted.
				Thread.onSpinWait();
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void startUpdated() throws IOException {
		for (int i = 0; i < ENDPOINTS; i++) {
			EndpointStandIn endpoint = new EndpointStandIn("new-" + i);
			this.updated.add(endpoint);
			this.installation.store()
				.put(CallerWire.ENDPOINT_TOPIC, "new-" + i,
						endpoint.record("core", "a", "ready").replace("\"v1\"", "\"v2\""));
		}
	}

	private void order() throws IOException {
		this.sent.set(0);
		this.installation.store()
			.put(CallerWire.OPERATOR_TOPIC, "rollout/core", CallerWire.rollout("core", "v2", DURATION_S));
		startUpdated();
	}

	private String status() {
		return this.installation.store().values(CallerWire.STATUS_TOPIC).getOrDefault("rollout/core", "");
	}

	private static int arrivals(List<EndpointStandIn> endpoints) {
		return endpoints.stream().mapToInt(EndpointStandIn::arrivals).sum();
	}

	private void assertWithinExposureBound() {
		assertThat(arrivals(this.updated))
			.isLessThanOrEqualTo((int) (LIMITS.exposureShare() * this.sent.get() + LIMITS.exposureSlack()));
	}

	@Test
	void oldEndpointsGetNothingOnceTheRolloutIsComplete() throws Exception {
		order();
		Installation.await(() -> status().contains("in_progress"));
		Installation.await(() -> status().contains("complete"));
		int before = arrivals(this.old);
		int sentBefore = this.sent.get();
		Installation.await(() -> this.sent.get() > sentBefore + 50);
		assertThat(arrivals(this.old)).isEqualTo(before);
		assertThat(status()).contains("\"to\":\"v2\"");
	}

	@Test
	void aVersionThatFailsIsReverted() throws Exception {
		order();
		this.updated.forEach((endpoint) -> endpoint.fault(EndpointStandIn.Fault.ERROR));
		Installation.await(() -> status().contains("reverted"));
		assertWithinExposureBound();
		int before = arrivals(this.updated);
		int sentBefore = this.sent.get();
		Installation.await(() -> this.sent.get() > sentBefore + 100);
		assertThat(arrivals(this.updated)).isEqualTo(before);
	}

	@Test
	void aVersionThatFailsIsRevertedWhileTheStoreIsDown() throws Exception {
		order();
		Installation.await(() -> arrivals(this.updated) > 3);
		this.installation.store().fault(StoreStandIn.Fault.DOWN);
		this.updated.forEach((endpoint) -> endpoint.fault(EndpointStandIn.Fault.ERROR));
		Thread.sleep((DURATION_S - 1) * 1_000L);
		assertWithinExposureBound();
		this.installation.store().fault(StoreStandIn.Fault.NONE);
		Installation.await(() -> status().contains("reverted"));
		assertWithinExposureBound();
	}

	@Test
	void aRolloutEndsWhenAVmIsKilledInTheMiddle() throws Exception {
		order();
		Installation.await(() -> arrivals(this.updated) > 3);
		this.installation.restart(0);
		this.installation.awaitReady();
		Installation.await(() -> status().contains("complete") || status().contains("reverted"));
		List<EndpointStandIn> stopped = (status().contains("complete")) ? this.old : this.updated;
		Thread.sleep(300);
		int before = arrivals(stopped);
		int sentBefore = this.sent.get();
		Installation.await(() -> this.sent.get() > sentBefore + 50);
		assertThat(arrivals(stopped)).isEqualTo(before);
	}

	private void awaitState(String state) throws Exception {
		long endAtMs = System.currentTimeMillis() + (DURATION_S + 10) * 1_000L;
		while (!status().contains(state) && System.currentTimeMillis() < endAtMs) {
			Thread.sleep(2);
		}
		assertThat(status()).contains(state);
	}

	@Test
	void aLostAnswerToTheLastWriteDoesNotSendRequestsBackToStoppedEndpoints() throws Exception {
		AtomicBoolean lost = new AtomicBoolean();
		this.installation.store().filterAppends((record) -> {
			if (record.contains("\"COMPLETE\"") && !lost.getAndSet(true)) {
				this.installation.store().loseNextAnswer();
				this.updated.forEach((endpoint) -> endpoint.fault(EndpointStandIn.Fault.ERROR));
			}
			return record;
		});
		order();
		awaitState("complete");
		this.updated.forEach((endpoint) -> endpoint.fault(EndpointStandIn.Fault.NONE));
		Thread.sleep(1_000);
		int before = arrivals(this.old);
		int sentBefore = this.sent.get();
		Installation.await(() -> this.sent.get() > sentBefore + 50);
		assertThat(arrivals(this.old)).isEqualTo(before);
	}

	@Test
	void allVmsSendNothingToOldEndpointsAfterARestartThatFollowsTheCompletion() throws Exception {
		order();
		awaitState("complete");
		int before = arrivals(this.old);
		for (int i = 0; i < VMS; i++) {
			this.installation.restart(i);
		}
		this.installation.awaitReady();
		int updatedBefore = arrivals(this.updated);
		Installation.await(() -> arrivals(this.updated) > updatedBefore + 50);
		assertThat(arrivals(this.old)).isEqualTo(before);
	}

	@Test
	void theStateIsWrittenAgainAfterTheStoreCameBackFromAnOlderCopy() throws Exception {
		StoreStandIn.Copy copy = this.installation.store().copy();
		order();
		awaitState("complete");
		this.installation.store().restore(copy);
		assertThat(status()).isEmpty();
		this.installation.store()
			.put(CallerWire.OPERATOR_TOPIC, "rollout/core", CallerWire.rollout("core", "v2", DURATION_S));
		awaitState("complete");
		Installation.await(() -> this.installation.store()
			.values(CallerWire.ROLLOUTS_TOPIC)
			.getOrDefault("core", "")
			.contains("COMPLETE"));
	}

	@Test
	void anInvalidOrderIsRevertedAndEndsTheRolloutThatItReplaces() throws Exception {
		order();
		Installation.await(() -> arrivals(this.updated) > 3);
		this.installation.store().put(CallerWire.OPERATOR_TOPIC, "rollout/core", CallerWire.rollout("core", "v2", 0));
		awaitState("reverted");
		Thread.sleep(300);
		int before = arrivals(this.updated);
		int sentBefore = this.sent.get();
		Installation.await(() -> this.sent.get() > sentBefore + 100);
		assertThat(arrivals(this.updated)).isEqualTo(before);
	}

	@Test
	void anOrderOfTheVersionInForceRefusesNoRequests() throws Exception {
		// Later than the time in which a VM takes an order for one from before its start.
		Thread.sleep(11_000);
		int before = arrivals(this.old);
		this.sent.set(0);
		this.installation.store()
			.put(CallerWire.OPERATOR_TOPIC, "rollout/core", CallerWire.rollout("core", "v1", DURATION_S));
		awaitState("complete");
		Installation.await(() -> this.sent.get() > 200);
		assertThat(arrivals(this.old) - before).isGreaterThanOrEqualTo(this.sent.get() - 10);
	}

	@Test
	void anOrderThatIsRemovedAtItsCompletionSendsNoRequestsBackToStoppedEndpoints() throws Exception {
		order();
		awaitState("complete");
		this.installation.store().put(CallerWire.OPERATOR_TOPIC, "rollout/core", "");
		Thread.sleep(2_000);
		int before = arrivals(this.old);
		int sentBefore = this.sent.get();
		Installation.await(() -> this.sent.get() > sentBefore + 50);
		assertThat(arrivals(this.old)).isEqualTo(before);
	}

	@Test
	void aCompletedRolloutWhoseOrderWasRemovedDoesNotKeepLaterVersionsFromServing() throws Exception {
		order();
		awaitState("complete");
		StoreStandIn store = this.installation.store();
		for (int i = 0; i < ENDPOINTS; i++) {
			store.put(CallerWire.ENDPOINT_TOPIC, "old-" + i, "");
		}
		store.put(CallerWire.OPERATOR_TOPIC, "rollout/core", "");
		// Removed endpoints stay known for the grace period.
		Thread.sleep(12_000);
		try (EndpointStandIn later = new EndpointStandIn("later")) {
			store.put(CallerWire.ENDPOINT_TOPIC, "later",
					later.record("core", "a", "ready").replace("\"v1\"", "\"v3\""));
			Installation.await(() -> later.arrivals() > 0);
		}
	}

}
