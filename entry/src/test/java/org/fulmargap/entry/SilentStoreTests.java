package org.fulmargap.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.LongStream;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that notice too late that all their connections to the store have
 * stopped delivering without a reset. A seed fixes when they do, relative to the open
 * reads. The system property {@code silence.seeds} sets the seeds, for example
 * {@code 1-20}.
 */
class SilentStoreTests {

	private static final String SEEDS = System.getProperty("silence.seeds", "1");

	private static final int VMS = 2;

	private static final int SILENCES = 4;

	/** Longer than any read of the store waits, in milliseconds. */
	private static final int LONGEST_READ_MS = 3_200;

	/** How long the rule is checked after its bound, in milliseconds. */
	private static final long CHECKED_MS = 600;

	private static final long CHECK_INTERVAL_MS = 20;

	private final List<String> mistakes = new ArrayList<>();

	private Installation installation;

	private int version = 1;

	static LongStream seeds() {
		return Arrays.stream(SEEDS.split(",")).flatMapToLong((part) -> {
			String[] range = part.split("-");
			return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
		});
	}

	@BeforeEach
	void start() throws Exception {
		this.installation = new Installation();
		this.installation.endpoint("core-1", "core");
		for (int i = 0; i < VMS; i++) {
			this.installation.vm("vm-" + i);
		}
		this.installation.awaitReady();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void aVersionAcknowledgedInASilenceIsInForceInTime(long seed) throws Exception {
		Random random = new Random(seed);
		for (int i = 0; i < SILENCES; i++) {
			writeVersion();
			for (int vm = 0; vm < VMS; vm++) {
				int reader = vm;
				Installation.await(() -> status(reader, newestPath()) == 200);
			}
			long silentAtMs = silence(random, i);
			Thread.sleep(random.nextLong(Installation.CONTACT_MS - Installation.CONFIG_APPLY_MS));
			writeVersion();
			long dueAtMs = Math.max(silentAtMs + Installation.CONTACT_MS, nowMs() + Installation.CONFIG_APPLY_MS);
			Thread.sleep(dueAtMs - nowMs());
			while (nowMs() < dueAtMs + CHECKED_MS) {
				checkVersion(silentAtMs);
				Thread.sleep(CHECK_INTERVAL_MS);
			}
		}
		assertThat(this.mistakes).isEmpty();
	}

	private void checkVersion(long silentAtMs) {
		for (int vm = 0; vm < VMS; vm++) {
			long sentAfterMs = nowMs() - silentAtMs;
			int status = status(vm, newestPath());
			if (status != 200) {
				this.mistakes.add("vm-" + vm + " answers " + status + ' ' + sentAfterMs + " ms after the silence");
			}
		}
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void anEndpointListedAsDrainingInASilenceGetsNothingLate(long seed) throws Exception {
		leaveInSilences(seed, (leaving) -> leaving.record("core", "a", "draining"));
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void anEndpointRemovedInASilenceGetsNothingLate(long seed) throws Exception {
		leaveInSilences(seed, (leaving) -> "");
	}

	private void leaveInSilences(long seed, Function<EndpointStandIn, String> lastRecord) throws Exception {
		Random random = new Random(seed);
		for (int i = 0; i < SILENCES; i++) {
			String id = "core-" + (i + 2);
			EndpointStandIn leaving = this.installation.endpoint(id, "core");
			for (int vm = 0; vm < VMS; vm++) {
				int reader = vm;
				Installation.await(() -> reaches(reader, leaving));
			}
			long silentAtMs = silence(random, i);
			Thread.sleep(random.nextLong(Installation.CONTACT_MS - Installation.DRAIN_MS));
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, id, lastRecord.apply(leaving));
			long dueAtMs = Math.max(silentAtMs + Installation.CONTACT_MS, nowMs() + Installation.DRAIN_MS);
			Thread.sleep(dueAtMs - nowMs());
			while (nowMs() < dueAtMs + CHECKED_MS) {
				checkDrain(leaving, silentAtMs);
				Thread.sleep(CHECK_INTERVAL_MS);
			}
		}
		assertThat(this.mistakes).isEmpty();
	}

	private void checkDrain(EndpointStandIn leaving, long silentAtMs) {
		for (int vm = 0; vm < VMS; vm++) {
			long sentAfterMs = nowMs() - silentAtMs;
			if (reaches(vm, leaving)) {
				this.mistakes.add("vm-" + vm + " sends " + sentAfterMs + " ms after the silence");
			}
		}
	}

	// The silences of a seed are spread over the time that a read may wait.
	private long silence(Random random, int number) throws InterruptedException {
		Thread.sleep((long) ((number + random.nextDouble()) / SILENCES * LONGEST_READ_MS));
		this.installation.store().silenceConnections();
		return nowMs();
	}

	// Requests that are not idempotent have no response timeout, so that a slow machine
	// makes none of them fail.
	private void writeVersion() {
		this.version++;
		this.installation.store()
			.put(CallerWire.OPERATOR_TOPIC, "config",
					CallerWire.CONFIG.formatted(this.version).replace("/push/", newestPath()));
	}

	private String newestPath() {
		return "/push" + this.version + '/';
	}

	private boolean reaches(int vm, EndpointStandIn endpoint) {
		int runs = endpoint.runs();
		status(vm, "/push/");
		return endpoint.runs() > runs;
	}

	private int status(int vm, String path) {
		try {
			return this.installation.send(this.installation.attempt(vm, path + 'x')).statusCode();
		}
		catch (IOException ex) {
			throw new AssertionError("the VM gave no answer", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new AssertionError("interrupted", ex);
		}
	}

	private static long nowMs() {
		return System.nanoTime() / 1_000_000;
	}

}
