package org.fulmargap.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.fulmargap.fleet.FleetMember;
import org.fulmargap.fleet.Hubs;
import org.fulmargap.platform.standin.CallerWire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that miss records, work or each other in a fleet that is too large
 * for heartbeats between all.
 */
class FleetTests {

	private static final int VMS = Hubs.MAX_FLAT_FLEET + 3;

	/** The shortest time that the platform gives VMs to apply a change, in ms. */
	private static final long APPLY_MS = 2_000;

	private final LogLines log = new LogLines();

	private Installation installation;

	@BeforeEach
	void start() throws Exception {
		this.installation = new Installation();
		this.installation.endpoint("core-1", "core");
		this.installation.endpoint("stage-1", "stage");
		this.installation.endpoint("pool-1", "pool");
		for (int i = 0; i < VMS; i++) {
			this.installation.vm("vm-" + i);
		}
		this.installation.awaitReady();
		Installation.await(() -> members().size() == VMS - hubs().size());
	}

	@AfterEach
	void stop() {
		this.installation.close();
		this.log.close();
	}

	private static Set<String> hubs() {
		List<FleetMember> fleet = new ArrayList<>();
		for (int i = 0; i < VMS; i++) {
			fleet.add(new FleetMember("vm-" + i, "127.0.0.1:1", "a", 1));
		}
		return new Hubs(fleet, VMS).names();
	}

	private List<Integer> members() {
		List<Integer> members = new ArrayList<>();
		for (int i = 0; i < VMS; i++) {
			if (this.installation.vm(i).followsAHub()) {
				members.add(i);
			}
		}
		return members;
	}

	private void replaceKey(int version) {
		this.installation.store()
			.put(CallerWire.OPERATOR_TOPIC, "config",
					CallerWire.CONFIG.formatted(version).replace("\"good\"", "\"new\""));
	}

	private int status(int vm) {
		try {
			return this.installation.send(this.installation.attempt(vm, "/read/x")).statusCode();
		}
		catch (IOException ex) {
			return 0;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return 0;
		}
	}

	private void assertAppliedByAll(long limitMs, List<Integer> vms) throws InterruptedException {
		long startedAtMs = System.currentTimeMillis();
		Installation.await(() -> vms.stream().allMatch((vm) -> status(vm) == 401));
		assertThat(System.currentTimeMillis() - startedAtMs).isLessThan(limitMs);
	}

	private List<Integer> others(String name) {
		List<Integer> others = new ArrayList<>();
		for (int i = 0; i < VMS; i++) {
			if (!("vm-" + i).equals(name)) {
				others.add(i);
			}
		}
		return others;
	}

	@Test
	void aChangeReachesAllVmsThroughTheHubs() throws Exception {
		long callsBefore = this.installation.store().calls();
		replaceKey(2);
		assertAppliedByAll(APPLY_MS, others(""));
		long calls = this.installation.store().calls() - callsBefore;
		assertThat(calls).isLessThan(VMS * 2L);
	}

	@Test
	void aChangeReachesTheMembersOfAHubThatIsGone() throws Exception {
		String hub = hubs().iterator().next();
		Installation
			.await(() -> this.log.contain("store_source", "source=" + hub + " previous=store previous_ms=\\d+"));
		this.installation.vm(Integer.parseInt(hub.substring("vm-".length()))).close();
		replaceKey(2);
		assertAppliedByAll(APPLY_MS, others(hub));
		this.log.await("store_source", "source=\\S+ previous=" + hub + " previous_ms=\\d+");
	}

	@Test
	void requestsWithStagesAreServedAtEachVm() throws Exception {
		for (int i = 0; i < VMS; i++) {
			assertThat(this.installation.send(this.installation.pipeline(i)).statusCode()).isEqualTo(200);
		}
	}

}
