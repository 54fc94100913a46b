/**
 * Control of a process: what it holds, whether it may serve, and which hosts it knows.
 */
package org.wigeontally.control;
