import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** TCP proxy on the loopback address; while it is cut it resets what is open and what is opened. */
final class Proxy {

	private final ServerSocket server;

	private final int target;

	private final List<Socket> open = new ArrayList<>();

	private final AtomicLong answers = new AtomicLong();

	private boolean cut;

	// Connections that are opened before its next change are silent once it has changed.
	private volatile int silences;

	Proxy(int target) throws IOException {
		this.target = target;
		this.server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
		Store.daemon(this::accept).start();
	}

	int port() {
		return this.server.getLocalPort();
	}

	/** Number of reads of bytes that came back from the target. */
	long answers() {
		return this.answers.get();
	}

	synchronized void cut() throws IOException {
		this.cut = true;
		for (Socket socket : this.open) {
			reset(socket);
		}
		this.open.clear();
	}

	/** What is open now stays open and passes nothing any more; new connections work. */
	void silence() {
		this.silences++;
	}

	synchronized void heal() {
		this.cut = false;
	}

	private static void reset(Socket socket) throws IOException {
		if (!socket.isClosed()) {
			socket.setSoLinger(true, 0);
			socket.close();
		}
	}

	private void accept() {
		while (true) {
			try {
				Socket front = this.server.accept();
				synchronized (this) {
					if (this.cut) {
						reset(front);
						continue;
					}
					Socket back = new Socket("127.0.0.1", this.target);
					front.setTcpNoDelay(true);
					back.setTcpNoDelay(true);
					int after = this.silences;
					this.open.add(front);
					this.open.add(back);
					Store.daemon(() -> pipe(front, back, false, after)).start();
					Store.daemon(() -> pipe(back, front, true, after)).start();
				}
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void pipe(Socket from, Socket to, boolean answer, int openedAfter) {
		try (from; to) {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			byte[] buffer = new byte[16 * 1024];
			int length = in.read(buffer);
			while (length >= 0) {
				if (openedAfter == this.silences) {
					out.write(buffer, 0, length);
				}
				if (answer) {
					this.answers.incrementAndGet();
				}
				length = in.read(buffer);
			}
		}
		catch (IOException ex) {
			// One side has closed; try-with-resources closes the other.
		}
	}

}
