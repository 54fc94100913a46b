package org.wigeontally.emulator.measure;

/**
 * One measurement. An implementation is also the JCommander object of its own options.
 */
public interface Measurement {

	/**
	 * Returns the name by which it is called.
	 * @return a short name
	 */
	String name();

	/**
	 * Runs it.
	 * @param seed seed of all random choices
	 * @return the figures
	 * @throws Exception if it could not be carried out
	 */
	Figures run(long seed) throws Exception;

}
