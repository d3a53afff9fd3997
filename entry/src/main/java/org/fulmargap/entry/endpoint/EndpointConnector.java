package org.fulmargap.entry.endpoint;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.fulmargap.entry.EntryMetrics;
import org.fulmargap.entry.EventLog;
import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.EndpointDirectory;
import org.fulmargap.placement.EndpointReach;

/**
 * Opens connections to endpoints: directly, or through another VM while this one is cut
 * off from all endpoints. Confined to its event loop.
 */
public final class EndpointConnector {

	/** In place of the name of a relay: the connection goes through no other VM. */
	static final String DIRECT = "";

	/** The connect timeout in milliseconds. */
	private static final int CONNECT_TIMEOUT_MS = 250;

	/**
	 * The interval at which a VM that is cut off tries to reach an endpoint directly, in
	 * milliseconds.
	 */
	private static final long RETRY_INTERVAL_MS = 250;

	/**
	 * How long all endpoints may be silent while calls are in flight before it is checked
	 * whether this VM is cut off, in milliseconds.
	 */
	private static final long SILENCE_MS = 500;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	private final EndpointDirectory directory;

	private final EndpointReach reach;

	private final EndpointRelays relays;

	private final UnaryOperator<InetSocketAddress> route;

	private final EntryMetrics metrics;

	private final Bootstrap bootstrap;

	private final List<Consumer<Boolean>> awaitingCheck = new ArrayList<>();

	private Consumer<Boolean> changeListener = (isCutOff) -> {
	};

	private boolean checking;

	private boolean cutOff;

	private long heardAtMs;

	private long connects;

	/**
	 * Creates a connector.
	 * @param loop the event loop of all connections
	 * @param clockMs the current time in milliseconds
	 * @param directory the known endpoints
	 * @param ownDomain the failure domain of this VM
	 * @param relays opens connections through other VMs
	 * @param route where direct connections to an address go, the address itself unless a
	 * test stands between this VM and the endpoints
	 * @param metrics receives whether this VM is cut off
	 */
	public EndpointConnector(EventLoop loop, LongSupplier clockMs, EndpointDirectory directory, String ownDomain,
			EndpointRelays relays, UnaryOperator<InetSocketAddress> route, EntryMetrics metrics) {
		this.loop = loop;
		this.clockMs = clockMs;
		this.directory = directory;
		this.reach = new EndpointReach(ownDomain);
		this.relays = relays;
		this.route = route;
		this.metrics = metrics;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			// A body without a length ends with the endpoint's output, not with any
			// close.
			.option(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					// The owner of the connection adds its handlers when it is open.
				}
			});
	}

	/**
	 * Sets who is told when this VM becomes cut off, or reaches endpoints again.
	 * @param listener receives whether this VM is cut off
	 */
	void onChange(Consumer<Boolean> listener) {
		this.changeListener = listener;
	}

	/**
	 * Returns whether this VM is cut off from all endpoints.
	 * @return {@code true} if it needs another VM to reach them
	 */
	public boolean isCutOff() {
		return this.cutOff;
	}

	/**
	 * Returns whether this VM is cut off and knows no other one that could help.
	 * @return {@code true} if no endpoint can be reached
	 */
	public boolean isWithoutRelay() {
		return this.cutOff && !this.relays.isAvailable(this.clockMs.getAsLong());
	}

	/**
	 * Returns whether an open connection may carry a new call.
	 * @param relay the VM through which it goes, {@link #DIRECT} if none
	 * @return {@code false} if connections are opened in another way now, or the VM does
	 * not relay any more
	 */
	boolean isUsable(String relay) {
		return (this.cutOff) ? this.relays.isUsable(relay) : relay.equals(DIRECT);
	}

	/**
	 * Returns the number of direct connection attempts, checks and failed ones included.
	 * @return the number since the start
	 */
	long connects() {
		return this.connects;
	}

	/**
	 * Opens a connection.
	 * @param address the address of the endpoint as {@code IP:port}
	 * @param listener is told of the result, unless the opening is cancelled
	 * @return the opening
	 */
	Opening open(String address, Listener listener) {
		Opening opening = new Opening(address, listener);
		if (this.cutOff && this.relays.isAvailable(this.clockMs.getAsLong())) {
			openRelayed(opening);
		}
		else {
			openDirect(opening);
		}
		return opening;
	}

	/**
	 * Opens a direct connection for another VM.
	 * @param address the address of the endpoint as {@code IP:port}
	 * @param listener is told of the result
	 */
	public void openForPeer(String address, DirectListener listener) {
		long startedAtMs = this.clockMs.getAsLong();
		ChannelFuture connecting = connect(address);
		connecting.addListener((done) -> {
			if (done.isSuccess()) {
				reached();
				listener.opened(connecting.channel());
			}
			else {
				notReached(address, startedAtMs, listener::failed);
			}
		});
	}

	private void openDirect(Opening opening) {
		long startedAtMs = this.clockMs.getAsLong();
		ChannelFuture connecting = connect(opening.address);
		opening.channel = connecting.channel();
		connecting.addListener((done) -> {
			if (done.isSuccess()) {
				reached();
				opening.opened(connecting.channel(), DIRECT);
			}
			else if (!opening.cancelled) {
				notReached(opening.address, startedAtMs, (isCutOff) -> directFailed(opening, isCutOff));
			}
		});
	}

	private void directFailed(Opening opening, boolean isCutOff) {
		if (isCutOff && this.relays.isAvailable(this.clockMs.getAsLong())) {
			openRelayed(opening);
		}
		else if (isCutOff) {
			opening.unavailable();
		}
		else {
			opening.failed();
		}
	}

	private void openRelayed(Opening opening) {
		if (opening.cancelled) {
			return;
		}
		String domain = this.directory.findByAddress(opening.address)
			.map((endpoint) -> endpoint.record().failureDomain())
			.orElse("");
		this.metrics.count("relayed_connections");
		this.relays.open(opening.address, domain, new EndpointRelays.Listener() {
			@Override
			public void opened(Channel channel, String relay) {
				EventLog.call("relayed_connection")
					.with("address", opening.address)
					.with("relay", relay)
					.with("local_port", ((InetSocketAddress) channel.localAddress()).getPort())
					.write();
				opening.opened(channel, relay);
			}

			@Override
			public void failed() {
				opening.failed();
			}

			@Override
			public void unavailable() {
				opening.unavailable();
			}
		});
	}

	/**
	 * Records that an endpoint sent bytes on a direct connection.
	 */
	void heard() {
		this.heardAtMs = this.clockMs.getAsLong();
	}

	/**
	 * Checks whether this VM is cut off if all endpoints are silent.
	 * @param callingSinceMs since when calls are in flight on direct connections, in
	 * milliseconds
	 */
	void checkSilence(long callingSinceMs) {
		long nowMs = this.clockMs.getAsLong();
		boolean silent = nowMs - Math.max(this.heardAtMs, callingSinceMs) >= SILENCE_MS;
		if (silent && !this.checking && this.reach.needsCheck(nowMs - SILENCE_MS)) {
			this.reach.checkTargets(available()).stream().findFirst().ifPresent(this::checkOne);
		}
	}

	private void checkOne(String address) {
		long startedAtMs = this.clockMs.getAsLong();
		connect(address).addListener((ChannelFuture connecting) -> {
			connecting.channel().close();
			if (connecting.isSuccess()) {
				reached();
			}
			else {
				notReached(address, startedAtMs, (isCutOff) -> {
				});
			}
		});
	}

	private void reached() {
		this.reach.connected(this.clockMs.getAsLong());
		update();
	}

	private void notReached(String address, long startedAtMs, Consumer<Boolean> result) {
		if (!this.reach.needsCheck(startedAtMs)) {
			result.accept(this.cutOff);
			return;
		}
		this.reach.failed(address);
		this.awaitingCheck.add(result);
		check();
	}

	private void check() {
		if (this.checking) {
			return;
		}
		this.checking = true;
		List<String> targets = this.reach.checkTargets(available());
		if (targets.isEmpty()) {
			endCheck();
			return;
		}
		Check check = new Check(targets.size());
		targets.forEach(check::start);
	}

	private void endCheck() {
		this.checking = false;
		this.reach.checked(this.directory.all().size());
		update();
		List<Consumer<Boolean>> results = List.copyOf(this.awaitingCheck);
		this.awaitingCheck.clear();
		results.forEach((result) -> result.accept(this.cutOff));
	}

	private List<Endpoint> available() {
		long nowMs = this.clockMs.getAsLong();
		return this.directory.all().stream().filter((endpoint) -> endpoint.isAvailable(nowMs)).toList();
	}

	private void update() {
		if (this.cutOff == this.reach.isCutOff()) {
			return;
		}
		this.cutOff = this.reach.isCutOff();
		this.metrics.gauge("endpoints_unreachable", (this.cutOff) ? 1 : 0);
		EventLog.state((this.cutOff) ? "endpoints_unreachable" : "endpoints_reachable")
			.with("relay_available", this.relays.isAvailable(this.clockMs.getAsLong()))
			.write();
		if (this.cutOff) {
			this.directory.all().forEach(Endpoint::forgetFailures);
			scheduleRetry();
		}
		this.changeListener.accept(this.cutOff);
	}

	private void scheduleRetry() {
		this.loop.schedule(this::retryDirect, RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	private void retryDirect() {
		if (!this.cutOff) {
			return;
		}
		String target = this.reach.retryTarget(available());
		if (!target.isEmpty()) {
			connect(target).addListener((ChannelFuture connecting) -> {
				connecting.channel().close();
				if (connecting.isSuccess()) {
					reached();
				}
			});
		}
		scheduleRetry();
	}

	private ChannelFuture connect(String address) {
		this.connects++;
		int colon = address.lastIndexOf(':');
		InetSocketAddress endpoint = new InetSocketAddress(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1)));
		return this.bootstrap.connect(this.route.apply(endpoint));
	}

	/**
	 * Is told whether a connection was opened.
	 */
	interface Listener {

		/**
		 * Handles an open connection.
		 * @param channel the connection
		 * @param relay the VM through which it goes, {@link #DIRECT} if none
		 */
		void opened(Channel channel, String relay);

		/** Handles that the endpoint accepts no connection. */
		void failed();

		/**
		 * Handles that this VM is cut off and no other one could help, so that nothing is
		 * known of the endpoint.
		 */
		void unavailable();

	}

	/**
	 * Is told whether a direct connection was opened.
	 */
	public interface DirectListener {

		/**
		 * Handles an open connection.
		 * @param channel the connection
		 */
		void opened(Channel channel);

		/**
		 * Handles that no connection could be opened.
		 * @param isCutOff whether this VM reaches no endpoint at all
		 */
		void failed(boolean isCutOff);

	}

	/**
	 * A connection that is being opened.
	 */
	static final class Opening {

		private final String address;

		private final Listener listener;

		private Channel channel;

		private boolean cancelled;

		private Opening(String address, Listener listener) {
			this.address = address;
			this.listener = listener;
		}

		private void opened(Channel opened, String relay) {
			if (this.cancelled) {
				opened.close();
			}
			else {
				this.listener.opened(opened, relay);
			}
		}

		private void failed() {
			if (!this.cancelled) {
				this.listener.failed();
			}
		}

		private void unavailable() {
			if (!this.cancelled) {
				this.listener.unavailable();
			}
		}

		/**
		 * Gives the connection up. The listener is told nothing more.
		 */
		void cancel() {
			this.cancelled = true;
			if (this.channel != null) {
				this.channel.close();
			}
		}

	}

	/**
	 * Connections to several endpoints, one of which is enough.
	 */
	private final class Check {

		private int left;

		private boolean ended;

		private Check(int targets) {
			this.left = targets;
		}

		private void start(String address) {
			EndpointConnector.this.connect(address).addListener((ChannelFuture connecting) -> {
				connecting.channel().close();
				this.left--;
				if (connecting.isSuccess()) {
					reached();
				}
				else if (!this.ended) {
					EndpointConnector.this.reach.failed(address);
				}
				if (!this.ended && (connecting.isSuccess() || this.left == 0)) {
					this.ended = true;
					endCheck();
				}
			});
		}

	}

}
