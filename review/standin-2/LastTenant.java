import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The operator takes away the last tenant: the new version contains an empty list of
 * tenants. Counts the requests with a dropped key, with a key that no version ever held
 * and without a key that a server runs afterwards.
 */
public final class LastTenant {

	private static final int ROUNDS = 10;

	private static final long CONFIG_APPLY_MS = 2_000;

	private static final String UNKNOWN_KEY = "zzzz0000zzzz0000zzzz";

	private static final String TENANT = "{\"name\":\"bozi300\",\"api-keys\":[\"" + Fleet.KEY + "\"],\"priority\":1}";

	private static final String CONFIG = """
			{"version":%d,"routes":[
			{"name":"r-act","host":"desk.example","path-prefix":"/act/","type":"non_idempotent","timeout-ms":800,"goal-ms":150,"priority":2,"service":"desk","max-attempts":1,"anonymous":false,"sticky":false,"resumable":false}],
			"services":[{"name":"desk","health-path":"/healthz","max-conns":48,"protocol":"h1","tls":false,"cold-s":0.0,"cold-per-s":0.0}],
			"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
			"tenants":[%s]}""";

	private final Record record;

	private final Set<String> run = ConcurrentHashMap.newKeySet();

	private LastTenant(Record record) {
		this.record = record;
	}

	public static void main(String[] args) {
		Case.run(args, (record, fleet, trouble) -> new LastTenant(record).run(fleet, trouble));
	}

	private int run(Fleet fleet, boolean trouble) throws Exception {
		fleet.store.put("keyed.op", "config", CONFIG.formatted(7, TENANT));
		for (String zone : Fleet.ZONES) {
			new PlainServer(fleet.store, "desk", zone, "127.0.0.1", 0, (server, request) -> {
				this.run.add(request.header("x-fulmargap-attempt-id"));
				return PlainServer.Reply.ok("booked");
			});
		}
		if (!fleet.start()) {
			return 2;
		}
		if (!send(fleet.vms.get(0), Caller.newId(), Fleet.KEY).equals("200")) {
			return 2;
		}
		// Without the disruption, the key is taken away and its tenant stays.
		String left = (trouble) ? "" : "{\"name\":\"bozi300\",\"api-keys\":[],\"priority\":1}";
		fleet.store.put("keyed.op", "config", CONFIG.formatted(9, left));
		this.record.line("the store has acknowledged version 9 with the tenants [" + left + "]");
		Thread.sleep(CONFIG_APPLY_MS + Fleet.CONTACT_MS);
		Map<String, Integer> ran = new TreeMap<>();
		for (int i = 0; i < ROUNDS; i++) {
			for (EntryVm vm : fleet.vms) {
				for (String key : new String[] { Fleet.KEY, UNKNOWN_KEY, "" }) {
					String id = Caller.newId();
					String kind = (key.equals(Fleet.KEY)) ? "dropped key" : (key.isEmpty()) ? "no key" : "unknown key";
					String answer = send(vm, id, key);
					boolean wasRun = this.run.contains(id);
					ran.merge(kind, (wasRun) ? 1 : 0, Integer::sum);
					this.record.line("sent " + id + " with " + kind + " to " + vm.name() + ", answer: " + answer
							+ ", run=" + wasRun);
				}
			}
		}
		String result = "requests that a server ran, of " + ROUNDS * fleet.vms.size() + " each (allowed: 0): " + ran;
		this.record.line(result);
		System.out.println(result);
		return (ran.values().stream().anyMatch((count) -> count > 0)) ? 1 : 0;
	}

	private static String send(EntryVm vm, String id, String key) {
		try (Caller caller = new Caller(vm, 2_000)) {
			Http answer = caller.call("POST", "/act/book", id, 1_500, key, "", "{}".getBytes());
			return (answer != null) ? Integer.toString(answer.status()) : "closed";
		}
		catch (IOException ex) {
			return ex.toString();
		}
	}

}
