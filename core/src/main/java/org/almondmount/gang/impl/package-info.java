/**
 * The member manager: the members of one worker and the fences against old attempts.
 * Nothing here is thread-safe.
 */
package org.almondmount.gang.impl;
