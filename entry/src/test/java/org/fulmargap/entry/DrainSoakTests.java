package org.fulmargap.entry;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that get no answer when a VM stops: callers send requests on
 * open connections until its process is gone, with work and queues of random length, and
 * further signals follow. The system property {@code drain.seeds} sets the seeds, for
 * example {@code 1-50}.
 */
class DrainSoakTests {

	private static final int VM = 11;

	/** The signals that may follow SIGTERM. */
	private static final List<String> SIGNALS = List.of("TERM", "INT", "HUP");

	private static final int CALLERS = 16;

	private static final int SLOTS = 8;

	private static final int MAX_WORK_MS = 1_800;

	/** A connection may end so soon after a request was sent without having read it. */
	private static final long CROSSING_MS = 200;

	private final Set<String> runs = ConcurrentHashMap.newKeySet();

	private final List<String> unanswered = new CopyOnWriteArrayList<>();

	private final AtomicInteger answers = new AtomicInteger();

	static LongStream seeds() {
		String[] range = System.getProperty("drain.seeds", "1-3").split("-");
		return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void everyRequestThatAVmHasReadIsAnsweredBeforeItEnds(long seed, @TempDir Path directory) throws Exception {
		Random random = new Random(seed);
		ExecutorService callers = Executors.newCachedThreadPool();
		try (StoreStandIn store = new StoreStandIn();
				RawEndpointStandIn core = new RawEndpointStandIn(working(1 + random.nextInt(MAX_WORK_MS)));
				EndpointStandIn engine = new EndpointStandIn("pool-1");
				EndpointStandIn stage = new EndpointStandIn("stage-1")) {
			engine.workMs(random.nextInt(200));
			stage.workMs(50 + random.nextInt(400));
			store.put(CallerWire.OPERATOR_TOPIC, "config", patientConfig());
			store.put(CallerWire.ENDPOINT_TOPIC, "raw-1", core.record("core"));
			store.put(CallerWire.ENDPOINT_TOPIC, "pool-1", engine.record("pool", "a", "ready"));
			store.put(CallerWire.ENDPOINT_TOPIC, "stage-1", stage.record("stage", "a", "ready"));
			try (EntryProcess vm = new EntryProcess(VM, directory, store.address())) {
				Installation.await(vm::isReady);
				for (int i = 0; i < CALLERS; i++) {
					Random ownRandom = new Random(random.nextLong());
					String name = "caller" + i;
					callers.execute(() -> call(vm.callerAddress(), name, ownRandom));
				}
				Thread.sleep(500 + random.nextInt(2_500));
				vm.signal("TERM");
				for (int i = random.nextInt(4); i > 0; i--) {
					Thread.sleep(random.nextInt(1_000));
					vm.signal(SIGNALS.get(random.nextInt(SIGNALS.size())));
				}
				assertThat(vm.awaitExit()).isZero();
			}
		}
		callers.shutdown();
		assertThat(callers.awaitTermination(10, TimeUnit.SECONDS)).isTrue();
		assertThat(this.unanswered).isEmpty();
		assertThat(this.answers).hasValueGreaterThan(CALLERS);
	}

	private static String patientConfig() {
		return CallerWire.CONFIG.formatted(1)
			.replace("127.0.0.1", EntryProcess.ip(VM))
			.replaceAll("\"timeout-ms\":\\d+", "\"timeout-ms\":20000")
			.replaceAll("\"goal-ms\":\\d+", "\"goal-ms\":15000");
	}

	private RawEndpointStandIn.Handler working(int workMs) {
		Semaphore slots = new Semaphore(SLOTS);
		return (socket, request) -> {
			this.runs.add(request.attemptId());
			slots.acquireUninterruptibly();
			try {
				TimeUnit.MILLISECONDS.sleep(workMs);
				return RawEndpointStandIn.answer(socket, request);
			}
			catch (InterruptedException ex) {
				throw new IOException("the stand-in was closed", ex);
			}
			finally {
				slots.release();
			}
		};
	}

	// Sends one request after the other until no connection can be opened.
	private void call(String address, String name, Random random) {
		InetSocketAddress target = new InetSocketAddress(address.split(":")[0],
				Integer.parseInt(address.split(":")[1]));
		int attempt = 0;
		while (true) {
			try (Socket socket = new Socket()) {
				socket.connect(target, 1_000);
				boolean open = true;
				while (open) {
					attempt++;
					open = exchange(socket, name + '.' + attempt, random);
				}
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private boolean exchange(Socket socket, String attemptId, Random random) throws IOException {
		boolean stream = random.nextInt(3) == 0;
		String stages = (stream) ? CallerWire.ITEM_COUNTS + ": 2,3\r\n" + CallerWire.INPUT_KEY + ": key\r\n" : "";
		socket.getOutputStream()
			.write(("POST " + ((stream) ? "/stream/x" : "/push/x") + " HTTP/1.1\r\nHost: " + EntryProcess.ip(VM)
					+ "\r\nAuthorization: Token good\r\nContent-Length: 2\r\n" + CallerWire.ATTEMPT_ID + ": "
					+ attemptId + "\r\n" + CallerWire.TIME_LEFT_MS + ": 20000\r\n" + stages + "\r\n{}")
				.getBytes(StandardCharsets.US_ASCII));
		long sentAtMs = System.currentTimeMillis();
		InputStream in = new BufferedInputStream(socket.getInputStream());
		String head = readHead(in);
		boolean whole = head.endsWith("\r\n\r\n") && readBody(in, head);
		if (whole) {
			this.answers.incrementAndGet();
			return !head.contains("onnection: close");
		}
		long afterMs = System.currentTimeMillis() - sentAtMs;
		// A stream that has begun when the VM ends is broken off.
		boolean begun = stream && head.startsWith("HTTP/1.1 200");
		if (!begun && (afterMs > CROSSING_MS || this.runs.contains(attemptId))) {
			this.unanswered.add(attemptId + " after " + afterMs + " ms: " + head);
		}
		return false;
	}

	private static String readHead(InputStream in) {
		StringBuilder head = new StringBuilder();
		try {
			int next = in.read();
			while (next >= 0) {
				head.append((char) next);
				if (head.toString().endsWith("\r\n\r\n")) {
					break;
				}
				next = in.read();
			}
		}
		catch (IOException ex) {
			head.append(' ').append(ex.getMessage());
		}
		return head.toString();
	}

	// Returns whether the body is whole.
	private static boolean readBody(InputStream in, String head) throws IOException {
		if (!head.contains("chunked")) {
			int begin = head.toLowerCase(Locale.ROOT).indexOf("content-length:") + "content-length:".length();
			int length = Integer.parseInt(head.substring(begin, head.indexOf('\r', begin)).strip());
			return in.readNBytes(length).length == length;
		}
		StringBuilder body = new StringBuilder();
		int next = in.read();
		while (next >= 0) {
			body.append((char) next);
			if (body.toString().endsWith("0\r\n\r\n")) {
				return true;
			}
			next = in.read();
		}
		return false;
	}

}
