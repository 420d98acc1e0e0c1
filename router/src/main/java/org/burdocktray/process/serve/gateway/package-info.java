/**
 * The gateway: forwards requests unchanged to the replicas that the platform lists, by
 * the rules that its operators put in force. What is spoken with the platform is given to
 * it by the implementations of {@link org.burdocktray.process.serve.gateway.HeaderCodec},
 * {@link org.burdocktray.process.serve.gateway.EngineControl},
 * {@link org.burdocktray.process.serve.gateway.ObjectCodec} and the ports of
 * {@code connection.platform}.
 */
package org.burdocktray.process.serve.gateway;
