import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stage server with one slot. It names a result by its address and the count of its
 * results since its start, and keeps results until they are freed, handle-s has passed or it ends.
 */
final class StageServer extends Server {

	private static final Pattern ID = Pattern.compile("\"id\":\"([^\"]*)\"");

	private static final Pattern HANDLE = Pattern.compile("\"([^\"]*/[^\"]*)\"");

	private final long callMs;

	private final long itemMs;

	private final Record record;

	private static final long HANDLE_MS = 4_000;

	private final Map<String, Long> expiresAtMs = new ConcurrentHashMap<>();

	private final Map<String, String> requestByHandle = new ConcurrentHashMap<>();

	private final Set<String> begun = ConcurrentHashMap.newKeySet();

	private final AtomicInteger results = new AtomicInteger();

	StageServer(String id, String service, long callMs, long itemMs, Record record) throws IOException {
		super(id, service, 1, record);
		this.callMs = callMs;
		this.itemMs = itemMs;
		this.record = record;
	}

	/** Returns the request for which a result was made, or null if it is not kept here. */
	String requestOf(String handle) {
		boolean kept = this.record.nowMs() < this.expiresAtMs.getOrDefault(handle, 0L);
		return (kept) ? this.requestByHandle.get(handle) : null;
	}

	/** Returns whether the server has begun to work on a piece of a request. */
	boolean hasBegun(String request) {
		return this.begun.contains(request);
	}

	@Override
	void crash() throws IOException {
		super.crash();
		this.requestByHandle.clear();
		this.results.set(0);
	}

	@Override
	void run(Message request, String attempt, OutputStream out) throws IOException, InterruptedException {
		String body = new String(request.body, StandardCharsets.UTF_8);
		if (request.firstLine.startsWith("POST /stage-free")) {
			Matcher handle = HANDLE.matcher(body.substring(body.indexOf('[')));
			while (handle.find()) {
				this.requestByHandle.remove(handle.group(1));
				this.record.write("server " + this.id + " frees " + handle.group(1));
			}
			answerJson(out, "{}");
			return;
		}
		List<String> requests = new ArrayList<>();
		Matcher id = ID.matcher(body);
		while (id.find()) {
			requests.add(id.group(1));
			this.begun.add(id.group(1));
			this.record.write("server " + this.id + " works on a piece of " + id.group(1));
		}
		Thread.sleep(this.callMs + this.itemMs * requests.size());
		List<String> items = new ArrayList<>();
		for (String owner : requests) {
			String handle = address() + '/' + this.results.incrementAndGet();
			this.requestByHandle.put(handle, owner);
			this.expiresAtMs.put(handle, this.record.nowMs() + HANDLE_MS);
			this.record.write("server " + this.id + " has made " + handle + " for " + owner);
			items.add("{\"handle\":\"" + handle + "\"}");
		}
		answerJson(out, "{\"items\":[" + String.join(",", items) + "]}");
	}

	private static void answerJson(OutputStream out, String json) throws IOException {
		answer(out, 200, "", "Content-Type: application/json\r\n", json.getBytes(StandardCharsets.UTF_8));
	}

}
