//! The messages and services of `corkspan.v1`, generated from the files in `proto/`: placement for
//! clients, node and roster. What the fields mean is said there.

#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod v1 {
    tonic::include_proto!("corkspan.v1");
}

/// The codec of all messages here: prost's, with small buffers. A call stays open for as long as
/// its allocation runs, and tonic's own buffers of 8 KiB at each end of each call would be most of
/// what an allocation costs.
pub mod codec {
    use std::marker::PhantomData;
    use tonic::codec::{BufferSettings, Codec};
    use tonic_prost::{ProstDecoder, ProstEncoder};

    pub struct Small<T, U>(PhantomData<(T, U)>);

    impl<T, U> Default for Small<T, U> {
        fn default() -> Self {
            Small(PhantomData)
        }
    }

    fn buffers() -> BufferSettings {
        BufferSettings::new(256, 32 * 1024)
    }

    impl<T, U> Codec for Small<T, U>
    where
        T: prost::Message + Send + 'static,
        U: prost::Message + Default + Send + 'static,
    {
        type Encode = T;
        type Decode = U;
        type Encoder = ProstEncoder<T>;
        type Decoder = ProstDecoder<U>;

        fn encoder(&mut self) -> Self::Encoder {
            ProstEncoder::new(buffers())
        }

        fn decoder(&mut self) -> Self::Decoder {
            ProstDecoder::new(buffers())
        }
    }
}
