package org.fulmargap.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the start of an entry VM in a separate process.
 */
class ProcessStartTests {

	// A process that ends may still have its ports when the next test starts.
	private static final AtomicInteger LAST_NUMBER = new AtomicInteger();

	private final int number = LAST_NUMBER.incrementAndGet();

	private static final int METRICS_PORT = 9_464;

	@TempDir
	private Path directory;

	private StoreStandIn store;

	@BeforeEach
	void openStore() throws IOException {
		this.store = new StoreStandIn();
	}

	@AfterEach
	void closeStore() {
		this.store.close();
	}

	private EntryProcess start() throws IOException {
		return new EntryProcess(this.number, this.directory, this.store.address());
	}

	private static void awaitLine(EntryProcess vm, String text) throws InterruptedException {
		Installation.await(() -> hasLine(vm, text));
	}

	private static boolean hasLine(EntryProcess vm, String text) {
		try {
			return !vm.logLines(text).isEmpty();
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Guards against processes that a signal ends without a line or a drain while they
	 * start.
	 */
	@Nested
	class SignalsWhileItStarts {

		@Test
		void aVmServesAfterSignalsThatItsSettingsHaveChanged() throws Exception {
			try (EntryProcess vm = start()) {
				awaitLine(vm, "event=process_started");
				while (vm.isAlive() && !hasLine(vm, "event=started")) {
					vm.signal("HUP");
				}
				assertThat(vm.isAlive()).isTrue();
				assertThat(vm.logLines("event=signal signal=HUP")).isNotEmpty();
			}
		}

		@ParameterizedTest
		@ValueSource(strings = { "TERM", "INT" })
		void aVmThatIsStoppedEndsInOrder(String signal) throws Exception {
			try (EntryProcess vm = start()) {
				awaitLine(vm, "event=process_started");
				vm.signal(signal);
				assertThat(vm.awaitExit()).isZero();
				assertThat(vm.logLines("event=exit reason=")).hasSize(1);
			}
		}

	}

	/**
	 * Guards against processes that don't start because the JVM leaves the signals to
	 * others.
	 */
	@Nested
	class SignalsThatCanNotBeHandled {

		@Test
		void aVmServesWithoutThem() throws Exception {
			Path file = Files.writeString(ProcessStartTests.this.directory.resolve("node.toml"),
					EntryProcess.settings(ProcessStartTests.this.number, "a", ProcessStartTests.this.store.address()));
			try (EntryProcess vm = new EntryProcess(ProcessStartTests.this.number, ProcessStartTests.this.directory,
					file, (builder) -> builder.environment().put("JAVA_TOOL_OPTIONS", "-Xrs"))) {
				Installation.await(() -> !vm.isAlive() || hasLine(vm, "event=started"));
				assertThat(vm.isAlive()).isTrue();
				assertThat(vm.logLines("event=signals_unhandled signals=\"HUP TERM INT\"")).hasSize(1);
			}
		}

	}

	/**
	 * Guards against processes that accept requests after a signal that ends them, and
	 * cut these requests.
	 */
	@Nested
	class SignalsBeforeItListens {

		// The process then waits before its end until its last line is written.
		private void fillStandardError(ProcessBuilder builder) {
			List<String> command = new ArrayList<>(
					List.of("sh", "-c", "head -c 65536 /dev/zero >&2; exec \"$0\" \"$@\""));
			command.addAll(builder.command());
			builder.command(command).redirectErrorStream(false).redirectError(ProcessBuilder.Redirect.PIPE);
		}

		@Test
		void aVmThatIsStoppedBeforeItListensAcceptsNoCallers() throws Exception {
			Path file = ProcessStartTests.this.directory.resolve("node.toml");
			try (EntryProcess vm = new EntryProcess(ProcessStartTests.this.number, ProcessStartTests.this.directory,
					file, this::fillStandardError)) {
				Installation.await(() -> vm.hasThread("direct-log"));
				Thread.sleep(300);
				vm.signal("TERM");
				Files.writeString(file, EntryProcess.settings(ProcessStartTests.this.number, "a",
						ProcessStartTests.this.store.address()));
				while (vm.isAlive()) {
					assertThat(vm.isCallerPortOpen()).isFalse();
				}
				assertThat(vm.awaitExit()).isZero();
			}
		}

	}

	/**
	 * Guards against processes that end because a port is taken when they start.
	 */
	@Nested
	class TakenPorts {

		@BeforeEach
		void configure() {
			ProcessStartTests.this.store.put(CallerWire.OPERATOR_TOPIC, "config", CallerWire.CONFIG.formatted(1));
		}

		private ServerSocket take(int port) throws IOException {
			return new ServerSocket(port, 1, InetAddress.getByName(EntryProcess.ip(ProcessStartTests.this.number)));
		}

		@ParameterizedTest
		@ValueSource(ints = { EntryProcess.CALLER_PORT, EntryProcess.READINESS_PORT, EntryProcess.PEER_PORT })
		void aVmThatWaitsForAPortIsNotReadyAndServesOnceItIsFree(int port) throws Exception {
			ServerSocket taken = take(port);
			try (EntryProcess vm = start()) {
				awaitLine(vm, "event=listen_failed");
				Thread.sleep(500);
				assertThat(vm.isAlive()).isTrue();
				assertThat(vm.logLines("event=started")).isEmpty();
				assertThat(port != EntryProcess.READINESS_PORT && vm.isReady()).isFalse();
				taken.close();
				awaitLine(vm, "event=started");
				Installation.await(vm::isReady);
			}
			finally {
				taken.close();
			}
		}

		@Test
		void aVmServesThoughThePortOfItsMetricsIsTaken() throws Exception {
			try (ServerSocket taken = take(METRICS_PORT); EntryProcess vm = start()) {
				awaitLine(vm, "event=started");
				Installation.await(vm::isReady);
				assertThat(vm.logLines("event=listen_failed")).isNotEmpty();
			}
		}

		@Test
		void aVmThatWaitsForItsCallerPortDrains() throws Exception {
			try (ServerSocket taken = take(EntryProcess.CALLER_PORT); EntryProcess vm = start()) {
				awaitLine(vm, "event=listen_failed");
				vm.signal("TERM");
				assertThat(vm.awaitExit()).isZero();
				assertThat(vm.logLines("event=fatal")).isEmpty();
			}
		}

	}

	/**
	 * Guards against processes that end because the platform writes their settings while
	 * they start.
	 */
	@Nested
	class IncompleteSettings {

		private Path file;

		private String settings;

		@BeforeEach
		void settings() {
			this.file = ProcessStartTests.this.directory.resolve("node.toml");
			this.settings = EntryProcess.settings(ProcessStartTests.this.number, "a",
					ProcessStartTests.this.store.address());
		}

		private void assertStartsOnceTheSettingsAreComplete() throws Exception {
			try (EntryProcess vm = new EntryProcess(ProcessStartTests.this.number, ProcessStartTests.this.directory,
					this.file)) {
				awaitLine(vm, "event=process_started");
				Thread.sleep(1_000);
				assertThat(vm.isAlive()).isTrue();
				Files.writeString(this.file, this.settings);
				awaitLine(vm, "event=started");
			}
		}

		@Test
		void aVmWaitsForAFileThatIsMissing() throws Exception {
			assertStartsOnceTheSettingsAreComplete();
		}

		@ParameterizedTest
		@ValueSource(ints = { 0, 10, 200, 300 })
		void aVmWaitsForTheRestOfAFile(int writtenCharacters) throws Exception {
			Files.writeString(this.file, this.settings.substring(0, writtenCharacters));
			assertStartsOnceTheSettingsAreComplete();
		}

		@Test
		void aVmWhoseSettingsStayWrongEndsWithTheReason() throws Exception {
			Files.writeString(this.file, this.settings.replace("grace-s = 8", "grace-s = \"8\""));
			try (EntryProcess vm = new EntryProcess(ProcessStartTests.this.number, ProcessStartTests.this.directory,
					this.file)) {
				assertThat(vm.awaitExit()).isEqualTo(2);
				assertThat(vm.logLines("event=exit reason=\"bad settings: bounds.grace-s: ")).hasSize(1);
			}
		}

		@Test
		void aVmThatWaitsForItsSettingsCanBeStopped() throws Exception {
			try (EntryProcess vm = new EntryProcess(ProcessStartTests.this.number, ProcessStartTests.this.directory,
					this.file)) {
				awaitLine(vm, "event=process_started");
				vm.signal("TERM");
				assertThat(vm.awaitExit()).isZero();
			}
		}

	}

	/**
	 * Guards against processes that end because another one cuts a file that they have
	 * mapped.
	 */
	@Nested
	class MappedFiles {

		@Test
		void aVmOutlivesTheFileOfItsPerformanceCounters() throws Exception {
			try (EntryProcess vm = start()) {
				awaitLine(vm, "event=started");
				Path counters = Path.of("/tmp", "hsperfdata_" + System.getProperty("user.name"),
						Long.toString(vm.pid()));
				if (Files.exists(counters)) {
					Files.write(counters, new byte[0]);
				}
				Thread.sleep(2_000);
				assertThat(vm.isAlive()).isTrue();
			}
		}

	}

	/**
	 * Guards against processes that end without a line that says why.
	 */
	@Nested
	class LastLines {

		@Test
		void theFirstAndTheLastLineOfAProcessNameItsLimitsAndItsEnd() throws Exception {
			try (EntryProcess vm = start()) {
				awaitLine(vm, "event=process_started pid=");
				awaitLine(vm, "event=started");
				vm.signal("TERM");
				assertThat(vm.awaitExit()).isZero();
				assertThat(vm.logLines("event=signal signal=TERM")).hasSize(1);
				assertThat(vm.logLines("event=exit reason=\"drained after TERM\" code=0")).hasSize(1);
			}
		}

	}

}
