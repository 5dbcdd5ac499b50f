package pondridge.gateway;

import io.netty.channel.Channel;
import io.netty.handler.codec.http2.Http2SecurityUtil;
import io.netty.handler.ssl.ApplicationProtocolConfig;
import io.netty.handler.ssl.ApplicationProtocolConfig.Protocol;
import io.netty.handler.ssl.ApplicationProtocolConfig.SelectedListenerFailureBehavior;
import io.netty.handler.ssl.ApplicationProtocolConfig.SelectorFailureBehavior;
import io.netty.handler.ssl.ApplicationProtocolNames;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslProvider;
import io.netty.handler.ssl.SupportedCipherSuiteFilter;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLParameters;
import javax.net.ssl.SSLPeerUnverifiedException;

/**
 * Mutual TLS for links, by the JDK's provider. Both ends present a certificate issued by a configured
 * authority. The connecting end checks that the certificate names the site it wants (RFC 6125, as a DNS
 * name); the accepting end checks that it names the site that the peer claims to be. The contexts are rebuilt
 * when a file has changed; a file that can't be used changes nothing. Safe on any thread.
 */
final class LinkTls {
    private static final long HANDSHAKE_TIMEOUT_MS = 2_000;
    private static final byte[] PROBE = {1, 2, 3, 4};

    private record Contexts(SslContext client, SslContext server, List<FileTime> modifiedTimes) {}

    private final GatewaySettings.Tls files;
    private volatile Contexts contexts;

    /** Reads the files; throws {@link IOException} that names the files if one can't be used. */
    LinkTls(GatewaySettings.Tls files) throws IOException {
        this.files = files;
        this.contexts = createContexts();
    }

    private List<FileTime> modifiedTimes() throws IOException {
        List<FileTime> times = new ArrayList<>();
        for (Path file : List.of(files.certificate(), files.key(), files.authorities())) {
            times.add(Files.getLastModifiedTime(file));
        }
        return times;
    }

    private Contexts createContexts() throws IOException {
        List<FileTime> times = modifiedTimes();
        try {
            checkKeyMatchesCertificate();
            return new Contexts(
                    configure(SslContextBuilder.forClient()
                                    .keyManager(
                                            files.certificate().toFile(),
                                            files.key().toFile()))
                            .build(),
                    configure(SslContextBuilder.forServer(
                                    files.certificate().toFile(), files.key().toFile()))
                            .clientAuth(ClientAuth.REQUIRE)
                            .build(),
                    times);
        } catch (SSLException | GeneralSecurityException | IllegalArgumentException e) {
            throw new IOException("certificates " + files + " can't be used: " + e.getMessage(), e);
        }
    }

    /**
     * Checks that the key belongs to the certificate. Files are replaced one after the other, and the JDK
     * would accept a key that does not match the certificate beside it and fail every handshake from then on.
     * The certificate must verify what the key signs.
     */
    private void checkKeyMatchesCertificate() throws IOException, GeneralSecurityException {
        PublicKey publicKey;
        try (InputStream in = Files.newInputStream(files.certificate())) {
            publicKey = CertificateFactory.getInstance("X.509")
                    .generateCertificate(in)
                    .getPublicKey();
        }
        String pem = Files.readString(files.key()).replaceAll("-----[^-]*-----|\\s", "");
        PrivateKey privateKey = KeyFactory.getInstance(publicKey.getAlgorithm())
                .generatePrivate(new PKCS8EncodedKeySpec(Base64.getDecoder().decode(pem)));
        String algorithm =
                switch (publicKey.getAlgorithm()) {
                    case "EC" -> "SHA256withECDSA";
                    case "RSA" -> "SHA256withRSA";
                    default -> publicKey.getAlgorithm();
                };
        Signature signature = Signature.getInstance(algorithm);
        signature.initSign(privateKey);
        signature.update(PROBE);
        byte[] signed = signature.sign();
        signature.initVerify(publicKey);
        signature.update(PROBE);
        if (!signature.verify(signed)) {
            throw new GeneralSecurityException("the key does not match the certificate");
        }
    }

    private SslContextBuilder configure(SslContextBuilder builder) {
        return builder.sslProvider(SslProvider.JDK)
                .trustManager(files.authorities().toFile())
                .protocols("TLSv1.3", "TLSv1.2")
                .ciphers(Http2SecurityUtil.CIPHERS, SupportedCipherSuiteFilter.INSTANCE)
                .applicationProtocolConfig(new ApplicationProtocolConfig(
                        Protocol.ALPN,
                        SelectorFailureBehavior.NO_ADVERTISE,
                        SelectedListenerFailureBehavior.ACCEPT,
                        ApplicationProtocolNames.HTTP_2));
    }

    /** Reloads changed files for new connections; true if there were any. */
    boolean refresh() throws IOException {
        if (modifiedTimes().equals(contexts.modifiedTimes)) {
            return false;
        }
        contexts = createContexts();
        return true;
    }

    /** The handler of a connection to a gateway of this site. */
    SslHandler clientHandler(Channel channel, String site) {
        SslHandler handler = contexts.client.newHandler(channel.alloc(), site, 0);
        SSLParameters parameters = handler.engine().getSSLParameters();
        parameters.setEndpointIdentificationAlgorithm("HTTPS");
        handler.engine().setSSLParameters(parameters);
        handler.setHandshakeTimeout(HANDSHAKE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        return handler;
    }

    /** The handler of an accepted connection. */
    SslHandler serverHandler(Channel channel) {
        SslHandler handler = contexts.server.newHandler(channel.alloc());
        handler.setHandshakeTimeout(HANDSHAKE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        return handler;
    }

    /** Whether the peer's certificate names this site; to be called after the handshake. */
    static boolean certificateNames(SslHandler handler, String site) {
        try {
            for (Certificate each : handler.engine().getSession().getPeerCertificates()) {
                if (each instanceof X509Certificate leaf) {
                    Collection<List<?>> names = leaf.getSubjectAlternativeNames();
                    // 2 is a DNS name (RFC 5280, section 4.2.1.6); the first certificate is the peer's own.
                    return names != null
                            && names.stream()
                                    .anyMatch(name ->
                                            name.get(0).equals(2) && name.get(1).equals(site));
                }
            }
        } catch (SSLPeerUnverifiedException | CertificateParsingException e) {
            return false;
        }
        return false;
    }
}
