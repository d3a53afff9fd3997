package org.fulmargap.bench.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fulmargap.admission.AdmissionListener;
import org.fulmargap.admission.AdmissionRequest;
import org.fulmargap.admission.FairAdmission;
import org.fulmargap.claim.ClaimBatch;
import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.ClaimLedger;
import org.fulmargap.claim.ClaimRecord;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.config.ConfigLedger;
import org.fulmargap.config.ConfigRecord;
import org.fulmargap.config.Configuration;
import org.fulmargap.config.EndpointSpec;
import org.fulmargap.config.Json;
import org.fulmargap.membership.Heartbeat;
import org.fulmargap.membership.Hello;
import org.fulmargap.membership.Incarnation;
import org.fulmargap.membership.MembershipLimits;
import org.fulmargap.membership.MembershipView;
import org.fulmargap.request.Deadline;
import org.fulmargap.request.FulmargapException;
import org.fulmargap.request.Priority;
import org.fulmargap.routing.AdaptiveRouter;
import org.fulmargap.routing.LoadReport;
import org.fulmargap.routing.Reservation;
import org.fulmargap.routing.RouteRequest;
import org.fulmargap.routing.RouterSettings;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Kinds of control state whose cost grows with the size of the system.
 */
enum StateKind {

	/**
	 * The configuration ledger; the operation proposes and commits a patch of one account
	 * and reads the configuration.
	 */
	ACCOUNT("client account", 1_000, 4_000, 11_000) {

		@Override
		Cost measure(int size) {
			JsonNode document = configurationDocument(size);
			Meter.Retained<ConfigLedger> ledger = Meter.measureRetained(() -> configLedger(document.deepCopy()));
			long[] offset = { ledger.object().nextOffset() };
			double micros = Meter.medianMicros((i) -> {
				ObjectNode patch = Json.mapper().createObjectNode();
				patch.putObject("accounts").set("account-" + i, accountNode(2));
				proposeAndCommit(ledger.object(), "p" + i, patch, offset);
				ledger.object().configuration();
			}, 20);
			return new Cost(ledger.bytes(), micros, jsonBytes(document));
		}

	},

	/** The member list; the operation decodes and merges one heartbeat. */
	MEMBER("entry VM", 7, 80, 320) {

		@Override
		Cost measure(int size) {
			Meter.Retained<MembershipView> view = Meter.measureRetained(() -> membershipView(size));
			byte[][] frames = new byte[size][];
			for (int i = 0; i < size; i++) {
				frames[i] = encodeHeartbeat(heartbeat(i, 0));
			}
			double micros = Meter.medianMicros((i) -> {
				Heartbeat heartbeat = decodeHeartbeat(frames[i % size]);
				view.object().receiveHeartbeat(heartbeat, NOW_MS + i);
			}, 2_000);
			return new Cost(view.bytes(), micros, frames[0].length);
		}

	},

	/**
	 * A heartbeat that carries warm-up starts of this many endpoints; the operation
	 * encodes and decodes it.
	 */
	WARM_UP("warm-up start in a heartbeat", 0, 8, 64) {

		@Override
		Cost measure(int size) {
			Heartbeat heartbeat = heartbeat(0, size);
			double micros = Meter.medianMicros((i) -> decodeHeartbeat(encodeHeartbeat(heartbeat)), 2_000);
			return new Cost(0, micros, encodeHeartbeat(heartbeat).length);
		}

	},

	/** The router; the operation selects an endpoint and records a successful call. */
	ENDPOINT("endpoint", 30, 150, 600) {

		@Override
		Cost measure(int size) {
			Configuration configuration = configurationWithEndpoints(size);
			Meter.Retained<AdaptiveRouter> router = Meter.measureRetained(() -> createRouter(configuration));
			RouteRequest request = new RouteRequest("generator", "prefix", 200, Set.of(), false, false);
			double micros = Meter.medianMicros((i) -> {
				try (Reservation reservation = router.object().select(request, NOW_MS + i).orElseThrow()) {
					reservation.succeeded(100, 0, "e1", NOW_MS + i);
				}
			}, 2_000);
			return new Cost(router.bytes(), micros, 0);
		}

	},

	/**
	 * A load report that lists this many attempts; the operation decodes and records it.
	 */
	LOAD_REPORT("attempt in a load report", 0, 8, 32) {

		@Override
		Cost measure(int size) {
			AdaptiveRouter router = createRouter(configurationWithEndpoints(30));
			List<String> attempts = new ArrayList<>();
			for (int i = 0; i < size; i++) {
				attempts.add("vm-12-1796362379000/" + (100_000 + i) + "/3/0");
			}
			byte[] report = encodeJson(new LoadReport("generator-7-1796362379000", size, 0, 32, NOW_MS, attempts));
			double micros = Meter
				.medianMicros((i) -> router.observeLoad("endpoint-7", decodeReport(report), NOW_MS + i), 2_000);
			return new Cost(0, micros, report.length);
		}

	},

	/** The claim ledger; the operation applies one claim and its outcome. */
	CLAIM("claim", 2_000, 20_000, 100_000) {

		@Override
		Cost measure(int size) {
			Meter.Retained<ClaimLedger> ledger = Meter.measureRetained(() -> claimLedger(size));
			long[] offset = { ledger.object().nextOffset() };
			int[] nextIndex = { size };
			List<JsonNode> batches = new ArrayList<>();
			for (int i = 0; i < 1_400; i++) {
				batches.add(Json.mapper().valueToTree(ClaimBatch.toJson(claimAndOutcome(nextIndex[0]++))));
			}
			double micros = Meter
				.medianMicros((i) -> ledger.object().apply(offset[0]++, NOW_MS, batches.get(i), NOW_MS), 200);
			return new Cost(ledger.bytes(), micros, jsonBytes(batches.get(0)));
		}

	},

	/** Admission with this many waiting accounts; the operation queues a request. */
	ACCOUNT_QUEUE("waiting client account", 100, 1_000, 11_000) {

		@Override
		Cost measure(int size) {
			Meter.Retained<FairAdmission> admission = Meter.measureRetained(() -> {
				FairAdmission fair = new FairAdmission(1, 10, 1_000_000);
				for (int i = 0; i < size; i++) {
					fair.admit(admissionRequest(i), NOW_MS, new SlotHolder());
				}
				return fair;
			});
			double micros = Meter
				.medianMicros((i) -> admission.object().admit(admissionRequest(i % size), NOW_MS, new SlotHolder()), 5);
			return new Cost(admission.bytes(), micros, 0);
		}

	};

	private static final long NOW_MS = 1_796_362_379_000L;

	private static final ObjectMapper MSGPACK = new ObjectMapper(new MessagePackFactory());

	private final String unit;

	private final int[] sizes;

	StateKind(String unit, int... sizes) {
		this.unit = unit;
		this.sizes = sizes;
	}

	/**
	 * Measures the cost at one size.
	 * @param size the size in units of this kind
	 * @return the measured cost
	 */
	abstract Cost measure(int size);

	String unit() {
		return this.unit;
	}

	int[] sizes() {
		return this.sizes.clone();
	}

	private static ConfigLedger configLedger(JsonNode document) {
		ConfigLedger ledger = new ConfigLedger();
		ledger.observeBounds(0, 0);
		proposeAndCommit(ledger, "initial", document, new long[] { 0 });
		ledger.configuration();
		return ledger;
	}

	private static void proposeAndCommit(ConfigLedger ledger, String patchId, JsonNode patch, long[] offset) {
		long version = ledger.state().version();
		ledger.apply(offset[0]++, NOW_MS, new ConfigRecord.Propose(patchId, version, patch, NOW_MS).toJson());
		ledger.apply(offset[0]++, NOW_MS, new ConfigRecord.Commit(patchId).toJson());
		if (ledger.state().version() != version + 1) {
			throw new IllegalStateException(
					"patch " + patchId + " was not committed: " + ledger.state().decision(patchId));
		}
	}

	private static JsonNode configurationDocument(int accounts) {
		ObjectNode document = Json.mapper().createObjectNode();
		ObjectNode accountsNode = document.putObject("accounts");
		for (int i = 0; i < accounts; i++) {
			accountsNode.set("account-" + i, accountNode(1));
		}
		return document;
	}

	private static ObjectNode accountNode(int weight) {
		return Json.mapper()
			.createObjectNode()
			.put("api_key_sha256", "0123456789abcdef".repeat(4))
			.put("weight", weight)
			.put("max_priority", "NORMAL");
	}

	private static Hello hello(int i) {
		return new Hello("vm-" + i, new Incarnation("vm-" + i, NOW_MS), "domain-" + i % 5, Hello.PROTOCOL_VERSION,
				"10.0." + i / 250 + "." + i % 250 + ":7003");
	}

	private static MembershipView membershipView(int size) {
		MembershipView view = new MembershipView(hello(0), MembershipLimits.DEFAULTS, NOW_MS);
		Map<String, Incarnation> joined = new TreeMap<>();
		for (int i = 1; i < size; i++) {
			view.receiveHello(hello(i), NOW_MS);
			joined.put("vm-" + i, hello(i).incarnation());
		}
		view.setJoined(joined, NOW_MS);
		return view;
	}

	private static Heartbeat heartbeat(int vm, int warmUpCount) {
		Map<String, Long> warmUpStarts = new HashMap<>();
		for (int i = 0; i < warmUpCount; i++) {
			warmUpStarts.put("endpoint-" + i, NOW_MS);
		}
		return new Heartbeat(hello(vm).incarnation(), false, 1_234, 27, warmUpStarts, Map.of(), 0x1234567890abcdefL,
				List.of(), List.of());
	}

	private static Configuration configurationWithEndpoints(int size) {
		Map<String, EndpointSpec> endpoints = new TreeMap<>();
		for (int i = 0; i < size; i++) {
			endpoints.put("endpoint-" + i, new EndpointSpec("generator", "domain-" + i % 5,
					"http://10.1." + i / 250 + "." + i % 250 + ":9000", 32, EndpointSpec.Fencing.IGNORED));
		}
		return new Configuration(Map.of(), Map.of(), endpoints);
	}

	private static AdaptiveRouter createRouter(Configuration configuration) {
		AdaptiveRouter router = new AdaptiveRouter(new RouterSettings("vm-0", "domain-0", 1, 2_000, 7));
		router.update(configuration, Set.of(), List.of("vm-0"), NOW_MS);
		return router;
	}

	private static ClaimLedger claimLedger(int size) {
		ClaimLedger ledger = new ClaimLedger(3_600_000);
		ledger.observeBounds(0, 0, NOW_MS);
		for (int i = 0; i < size; i++) {
			ledger.apply(i, NOW_MS, ClaimBatch.toJson(claimAndOutcome(i)), NOW_MS);
		}
		return ledger;
	}

	private static List<ClaimRecord> claimAndOutcome(int i) {
		ClaimKey key = new ClaimKey("account-" + i % 11_000, "0193a5f2-7c1e-7abc-8def-" + (100_000_000_000L + i));
		String attemptId = "vm-12-1796362379000/" + i + "/0/0";
		return List.of(
				new ClaimRecord.Claim(key, "0123456789abcdef".repeat(4), attemptId, "vm-12-1796362379000", NOW_MS),
				new ClaimRecord.Outcome(key, attemptId, new RecordedOutcome(200,
						"{\"request_id\":\"vm-12-1796362379000/" + i + "\",\"output\":\"booked\"}", false)));
	}

	private static AdmissionRequest admissionRequest(int i) {
		return new AdmissionRequest("account-" + i, 1, Priority.NORMAL, new Deadline(NOW_MS + 100_000_000), 10);
	}

	private static byte[] encodeHeartbeat(Heartbeat heartbeat) {
		try {
			return MSGPACK.writeValueAsBytes(heartbeat);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static Heartbeat decodeHeartbeat(byte[] frame) {
		try {
			return MSGPACK.readValue(frame, Heartbeat.class);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static byte[] encodeJson(Object value) {
		try {
			return Json.mapper().writeValueAsBytes(value);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static LoadReport decodeReport(byte[] report) {
		try {
			return Json.mapper().readValue(report, LoadReport.class);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static int jsonBytes(JsonNode value) {
		return encodeJson(value).length;
	}

	/**
	 * Never releases the slot, so that later requests wait.
	 */
	private static final class SlotHolder implements AdmissionListener {

		@Override
		public void admitted(Permit permit) {
		}

		@Override
		public void refused(FulmargapException refusal) {
		}

	}

}
