/**
 * The gateway: forwards requests unchanged to the replicas that the platform lists, by
 * the rules that its operators put in force. Communication with the platform is provided
 * by implementations of {@link org.burdocktray.process.serve.gateway.HeaderCodec},
 * {@link org.burdocktray.process.serve.gateway.EngineControl},
 * {@link org.burdocktray.process.serve.gateway.ObjectCodec} and the interfaces of
 * {@code connection.platform}.
 */
package org.burdocktray.process.serve.gateway;
