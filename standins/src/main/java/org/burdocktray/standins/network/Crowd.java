package org.burdocktray.standins.network;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;

/**
 * Clients that all send the same, each over connections of its own. The crowd stays until
 * all have sent everything or were turned away, and a while longer, and then leaves.
 * Thread safety: confined to one thread.
 */
public final class Crowd implements AutoCloseable {

	private static final long SELECT_MILLIS = 20;

	private static final int READ_BUFFER_BYTES = 65_536;

	private final InetSocketAddress target;

	private final Plan plan;

	private final Selector selector;

	private final ByteBuffer scratch = ByteBuffer.allocate(READ_BUFFER_BYTES);

	private int unfinished;

	/**
	 * Creates a crowd that has not come yet.
	 * @param target the listener to which it comes
	 * @param plan what it sends
	 */
	public Crowd(InetSocketAddress target, Plan plan) {
		this.target = target;
		this.plan = plan;
		try {
			this.selector = Selector.open();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Lets the crowd come, send and stay.
	 * @param watcher runs again and again meanwhile
	 */
	public void press(Runnable watcher) {
		try {
			for (int index = 0; index < this.plan.connections(); index++) {
				connect(this.plan.reconnects());
			}
			long startNanos = System.nanoTime();
			while (this.unfinished > 0 && elapsedMillis(startNanos) < this.plan.maxSendMillis()) {
				turn(watcher);
			}
			long sentNanos = System.nanoTime();
			while (elapsedMillis(sentNanos) < this.plan.stayMillis()) {
				turn(watcher);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void turn(Runnable watcher) throws IOException {
		this.selector.select(SELECT_MILLIS);
		Iterator<SelectionKey> keys = this.selector.selectedKeys().iterator();
		while (keys.hasNext()) {
			((Client) keys.next().attachment()).onReady();
			keys.remove();
		}
		watcher.run();
	}

	private void connect(int reconnects) throws IOException {
		this.unfinished++;
		SocketChannel channel = SocketChannel.open();
		channel.configureBlocking(false);
		channel.connect(this.target);
		Client client = new Client(channel, reconnects);
		client.key = channel.register(this.selector, SelectionKey.OP_CONNECT, client);
	}

	private static long elapsedMillis(long sinceNanos) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
	}

	@Override
	public void close() {
		try {
			for (SelectionKey key : this.selector.keys()) {
				key.channel().close();
			}
			this.selector.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * What each connection of a crowd sends. Thread safety: immutable.
	 *
	 * @param connections the number of connections
	 * @param first what is sent once
	 * @param repeated what is sent again and again behind it
	 * @param repetitions how often
	 * @param reads whether the clients read answers
	 * @param reconnects how often a client comes back that was turned away
	 * @param maxSendMillis how long the crowd sends at most
	 * @param stayMillis how long it stays then
	 */
	public record Plan(int connections, byte[] first, byte[] repeated, int repetitions, boolean reads, int reconnects,
			long maxSendMillis, long stayMillis) {

	}

	private final class Client {

		private final SocketChannel channel;

		private final int reconnects;

		private final ByteBuffer first = ByteBuffer.wrap(Crowd.this.plan.first());

		private final ByteBuffer repeated = ByteBuffer.wrap(Crowd.this.plan.repeated());

		private SelectionKey key;

		private int repetitions;

		private boolean finished;

		Client(SocketChannel channel, int reconnects) {
			this.channel = channel;
			this.reconnects = reconnects;
		}

		void onReady() throws IOException {
			try {
				if (this.key.isConnectable()) {
					this.channel.finishConnect();
					this.key.interestOps(SelectionKey.OP_WRITE | (Crowd.this.plan.reads() ? SelectionKey.OP_READ : 0));
				}
				if (this.key.isReadable()) {
					read();
				}
				if (this.key.isValid() && this.key.isWritable()) {
					write();
				}
			}
			catch (IOException ex) {
				leave();
			}
		}

		private void read() throws IOException {
			Crowd.this.scratch.clear();
			if (this.channel.read(Crowd.this.scratch) < 0) {
				leave();
			}
		}

		private void write() throws IOException {
			this.channel.write(this.first);
			while (!this.first.hasRemaining() && this.repetitions < Crowd.this.plan.repetitions()) {
				this.channel.write(this.repeated);
				if (this.repeated.hasRemaining()) {
					return;
				}
				this.repeated.rewind();
				this.repetitions++;
			}
			if (!this.first.hasRemaining()) {
				finish();
				this.key.interestOps(Crowd.this.plan.reads() ? SelectionKey.OP_READ : 0);
			}
		}

		private void leave() throws IOException {
			boolean comesBack = !this.finished && this.reconnects > 0;
			finish();
			this.key.cancel();
			this.channel.close();
			if (comesBack) {
				connect(this.reconnects - 1);
			}
		}

		private void finish() {
			if (!this.finished) {
				this.finished = true;
				Crowd.this.unfinished--;
			}
		}

	}

}
