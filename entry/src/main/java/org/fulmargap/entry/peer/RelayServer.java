package org.fulmargap.entry.peer;

import java.util.HashSet;
import java.util.Set;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.fulmargap.entry.EntryMetrics;
import org.fulmargap.entry.EventLog;
import org.fulmargap.entry.endpoint.EndpointConnector;
import org.fulmargap.placement.EndpointDirectory;

/**
 * Connects other VMs, which are cut off from the endpoints, to listed endpoints. Confined
 * to the event loop.
 */
public final class RelayServer {

	/** Further connections are refused while so many are open. */
	private static final int MAX_RELAYS = 500;

	private final EndpointDirectory directory;

	private final EndpointConnector connector;

	private final EntryMetrics metrics;

	private final Set<Relay> open = new HashSet<>();

	/**
	 * Creates a server without connections.
	 * @param directory the known endpoints
	 * @param connector opens connections to endpoints
	 * @param metrics receives the number of open connections
	 */
	public RelayServer(EndpointDirectory directory, EndpointConnector connector, EntryMetrics metrics) {
		this.directory = directory;
		this.connector = connector;
		this.metrics = metrics;
	}

	/**
	 * Returns the number of connections that are relayed.
	 * @return the number
	 */
	public int count() {
		return this.open.size();
	}

	void accept(Channel peer, PeerMessage.RelayRequest request) {
		boolean isListed = this.directory.findByAddress(request.address()).isPresent();
		if (!isListed || this.connector.isCutOff() || this.open.size() >= MAX_RELAYS) {
			refuse(peer, RelayOutcome.UNAVAILABLE);
			return;
		}
		// Its close is noticed while the connection to the endpoint is opened.
		peer.pipeline().addLast(new ChannelInboundHandlerAdapter() {
			@Override
			public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
				context.close();
			}
		});
		this.connector.openForPeer(request.address(), new EndpointConnector.DirectListener() {
			@Override
			public void opened(Channel endpoint) {
				relay(peer, endpoint, request);
			}

			@Override
			public void failed(boolean isCutOff) {
				refuse(peer, (isCutOff) ? RelayOutcome.UNAVAILABLE : RelayOutcome.NOT_CONNECTED);
			}
		});
	}

	private static void refuse(Channel peer, RelayOutcome outcome) {
		peer.writeAndFlush(outcome.toFrame()).addListener(ChannelFutureListener.CLOSE);
	}

	private void relay(Channel peer, Channel endpoint, PeerMessage.RelayRequest request) {
		if (!peer.isActive()) {
			endpoint.close();
			return;
		}
		EventLog.call("relay_opened").with("peer", peer.remoteAddress()).with("address", request.address()).write();
		this.metrics.count("relays_opened");
		RelayOutcome outcome = (request.readsFrames()) ? RelayOutcome.OPEN_WITH_FRAMES : RelayOutcome.OPEN;
		Relay relay = new Relay(peer, endpoint, outcome, (closed, end) -> closed(closed, request.address(), end));
		this.open.add(relay);
		countOpen();
		peer.writeAndFlush(outcome.toFrame());
		relay.start();
	}

	private void closed(Relay relay, String address, RelayEnd end) {
		EventLog.call("relay_closed").with("address", address).with("reason", end).write();
		this.open.remove(relay);
		countOpen();
	}

	private void countOpen() {
		this.metrics.gauge("relays_open", this.open.size());
	}

}
