/**
 * HTTP clients of the platform's services.
 */
package org.wigeontally.platform;
