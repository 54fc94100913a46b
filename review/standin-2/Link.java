import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * The network between the entries and one replica. While it is cut, nothing passes in
 * either direction; what was sent meanwhile arrives afterwards, as TCP sends it again.
 */
final class Link implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private final ServerSocket socket;

	private final int target;

	private boolean cut;

	Link(int target) throws IOException {
		this.target = target;
		this.socket = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
		Replica.start("link", () -> {
			while (!this.socket.isClosed()) {
				Socket near = this.socket.accept();
				Replica.start("link", () -> connect(near));
			}
		});
	}

	int port() {
		return this.socket.getLocalPort();
	}

	synchronized void setCut(boolean isCut) {
		this.cut = isCut;
		notifyAll();
	}

	private synchronized void awaitPassage() throws InterruptedException {
		while (this.cut) {
			wait();
		}
	}

	private void connect(Socket near) throws IOException, InterruptedException {
		awaitPassage();
		Socket far = new Socket(InetAddress.getByName("127.0.0.1"), this.target);
		near.setTcpNoDelay(true);
		far.setTcpNoDelay(true);
		Replica.start("link", () -> pass(near, far));
		pass(far, near);
	}

	private void pass(Socket from, Socket to) throws IOException, InterruptedException {
		try (from; to) {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			byte[] buffer = new byte[BUFFER_BYTES];
			for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
				awaitPassage();
				out.write(buffer, 0, read);
			}
			awaitPassage();
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
