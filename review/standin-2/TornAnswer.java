import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some servers break off a small part of their answers in the body and then send the same
 * answer once more, whole. Counts the callers that get a success with another body than
 * the server's.
 */
public final class TornAnswer {

	private static final int CALLERS = 12;

	private static final long CALLS_FOR_MS = 75_000;

	private static final List<String> SERVER_ZONES = List.of("gent-a", "gent-a", "gent-b", "gent-c");

	/** The servers that spoil answers, and the share of their answers, as in the site file. */
	private static final Set<Integer> GARBLING_SERVERS = Set.of(0, 2);

	private static final double GARBLED_SHARE = 0.05;

	/** The pause before the answer comes once more. */
	private static final long PAUSE_MS = 20;

	private static final String CONFIG = """
			{"version":7,"routes":[
			{"name":"r-read","host":"desk.example","path-prefix":"/read/","type":"idempotent","timeout-ms":800,"goal-ms":150,"priority":2,"service":"desk","max-attempts":2,"anonymous":false,"sticky":false,"resumable":false}],
			"services":[{"name":"desk","health-path":"/healthz","max-conns":48,"protocol":"h1","tls":false,"cold-s":0.0,"cold-per-s":0.0}],
			"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
			"tenants":[{"name":"bozi300","api-keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}""";

	private final Record record;

	private final boolean trouble;

	private final AtomicInteger torn = new AtomicInteger();

	private final AtomicInteger whole = new AtomicInteger();

	private final AtomicInteger wrong = new AtomicInteger();

	private final AtomicInteger failed = new AtomicInteger();

	private TornAnswer(Record record, boolean trouble) {
		this.record = record;
		this.trouble = trouble;
	}

	public static void main(String[] args) {
		Case.run(args, (record, fleet, trouble) -> new TornAnswer(record, trouble).run(fleet));
	}

	private int run(Fleet fleet) throws Exception {
		fleet.store.put("keyed.op", "config", CONFIG);
		for (int i = 0; i < SERVER_ZONES.size(); i++) {
			listen(fleet.store, "i-7f3a91c" + i, SERVER_ZONES.get(i), GARBLING_SERVERS.contains(i));
		}
		if (!fleet.start()) {
			return 2;
		}
		long endMs = EntryVm.now() + CALLS_FOR_MS;
		CountDownLatch left = new CountDownLatch(CALLERS);
		for (int i = 0; i < CALLERS; i++) {
			EntryVm vm = fleet.vms.get(i % fleet.vms.size());
			PlainServer.daemon(() -> {
				while (EntryVm.now() < endMs) {
					call(vm);
				}
				left.countDown();
			});
		}
		if (!left.await(CALLS_FOR_MS + 5_000, TimeUnit.MILLISECONDS)) {
			return 2;
		}
		String result = "answers broken off and sent again: " + this.torn + "; successes with the server's body: "
				+ this.whole + ", successes with another body: " + this.wrong + " (allowed: 0), no success: "
				+ this.failed;
		this.record.line(result);
		System.out.println(result);
		return (this.wrong.get() > 0) ? 1 : 0;
	}

	private static String bodyOf(String id) {
		return "{\"item\":\"" + id + "\",\"stock\":17,\"unit\":\"pallet\",\"depot\":\"gent\"}";
	}

	private void listen(LogStore store, String id, String zone, boolean garbles) throws IOException {
		ServerSocket listener = new ServerSocket();
		listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
		store.put("keyed.servers", id,
				"{\"service\":\"desk\",\"address\":\"127.0.0.1:" + listener.getLocalPort() + "\",\"zone\":\"" + zone
						+ "\",\"version\":\"1\",\"slots\":6,\"state\":\"ready\",\"cold-left-ms\":0,\"sequence\":1,\"born\":"
						+ System.currentTimeMillis() + "}");
		PlainServer.daemon(() -> {
			while (true) {
				try {
					Socket socket = listener.accept();
					PlainServer.daemon(() -> serve(socket, garbles));
				}
				catch (IOException ex) {
					return;
				}
			}
		});
	}

	private void serve(Socket socket, boolean garbles) {
		try (socket) {
			socket.setTcpNoDelay(true);
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			for (Http request = Http.read(in); request != null; request = Http.read(in)) {
				String id = request.header("x-fulmargap-attempt-id");
				Thread.sleep(15);
				String body = bodyOf(id);
				if (garbles && this.trouble && Spells.isDisturbed() && ThreadLocalRandom.current().nextDouble() < GARBLED_SHARE) {
					int sent = ThreadLocalRandom.current().nextInt(body.length());
					this.torn.incrementAndGet();
					this.record.line("answer to " + id + " broken off after " + sent + " of " + body.length() + " bytes");
					write(socket, id, body, sent);
					Thread.sleep(PAUSE_MS);
				}
				write(socket, id, body, body.length());
			}
		}
		catch (IOException ex) {
			// The machine has closed the channel.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Writes line by line, without a pause.
	private static void write(Socket socket, String id, String body, int bodyBytes) throws IOException {
		OutputStream out = socket.getOutputStream();
		String[] lines = { "HTTP/1.1 200 OK", "Date: Mon, 07 Dec 2026 05:30:00 GMT", "Server: desk", "Cache-Control: no-store",
				"Vary: Accept", "X-Content-Type-Options: nosniff", "Content-Type: application/json",
				"Content-Length: " + body.length(), "Keep-Alive: timeout=5",
				"X-Fulmargap-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1", "X-Fulmargap-Attempt-Id: " + id, "" };
		for (String line : lines) {
			out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
		}
		out.write(body.substring(0, bodyBytes).getBytes(StandardCharsets.ISO_8859_1));
	}

	private void call(EntryVm vm) {
		String id = Caller.newId();
		try (Caller caller = new Caller(vm, 2_000)) {
			Http answer = caller.call("GET", "/read/stock", id, 1_500, Fleet.KEY, "", null);
			if (answer == null || answer.status() != 200) {
				this.failed.incrementAndGet();
				this.record.line("sent " + id + ", answer: " + ((answer != null) ? answer.status() : "closed"));
				return;
			}
			String body = new String(answer.body, StandardCharsets.ISO_8859_1);
			boolean right = body.equals(bodyOf(id));
			(right ? this.whole : this.wrong).incrementAndGet();
			this.record.line("sent " + id + ", answer: 200 " + (right ? "whole" : "WRONG BODY: "
					+ body.replace("\r", "\\r").replace("\n", "\\n")));
		}
		catch (IOException ex) {
			this.failed.incrementAndGet();
			this.record.line("sent " + id + ", answer: " + ex);
		}
	}

}
